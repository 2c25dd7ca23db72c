#!/bin/sh
# Builds the cases of the second review with their stand-ins, and from the repository's history the
# version in production that the deploy file names; needs what the service's build needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 4 5 6; do
  if [ -d "review/$n" ]; then
    go build -o "target/review/case$n" "./review/$n"
  fi
done
production() {
  commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
  rm -rf target/review/production
  mkdir -p target/review/production
  git archive "$commit" >target/review/production.tar
  tar -x -f target/review/production.tar -C target/review/production
  rm target/review/production.tar
  cd target/review/production
  sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
}
production
