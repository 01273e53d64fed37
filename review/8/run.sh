#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tamarackhollow ] && [ -x target/review-8 ] || { echo "build first: the build of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec timeout -k 5 118 target/review-8
