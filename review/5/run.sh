#!/usr/bin/env bash
# Plays case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/damasklatch ] && [ -x target/review-standin ] || { echo "build first: build line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review-standin 5 review/5/record.txt
