#!/bin/sh
# Builds the cases of the second review with their stand-ins; needs what the service's build needs.
set -eu
cd "$(dirname "$0")/.."
for n in 4 5 6; do
  [ ! -d "review/$n" ] || go build -o "target/review/case$n" "./review/$n"
done
