#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. With PLAN=0 the machine is killed for good instead of replaced as planned.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/redwingledge ] || [ ! -x target/review/standin ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
case=replaced-then-wiped
[ "${PLAN:-1}" = 0 ] && case=killed-then-wiped
exec timeout -k 5 115 target/review/standin -case "$case" -trouble="$trouble" -folder "$folder"
