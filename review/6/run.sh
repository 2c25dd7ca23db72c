#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wheatspur ] || { echo "target/wheatspur is not built" >&2; exit 2; }
[ -x target/review/case6 ] || sh review/build-2.sh || exit 2
exec target/review/case6 "$PWD" "$PWD/review/6"
