#!/usr/bin/env bash
# Plays the standard days of the deployments that must keep what they have reached, and
# prints their gates. Needs the users' bench and their folder of deployments:
#
#   deploy/regress.sh BENCH FOLDER [JOBS]
#
# The further and the large deployments have taken the places of the two oldest.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 2 ]; then
  echo "usage: deploy/regress.sh BENCH FOLDER [JOBS]" >&2
  exit 2
fi
bench=$1 folder=$2 jobs=${3:-3}
sites=(
  further/ccso-mapas
  further-grown/ccso-mapas-grown
  large/fjspb-ledge-large
  grown/fjspb-ledge-grown
  grown/ndfsc-edge-grown
  shifted/fjspb-ledge-now-grown
  demands/raamatusild-tln-grown
  demands/vvs-tallinn-grown
)
failed=0
for site in "${sites[@]}"; do
  echo "== $site"
  out=$("$bench" score "$folder/$site.toml" --jobs "$jobs" --why "regression run" 2>&1) || failed=1
  grep -E '^(score|day|quiet|trouble|scale|fresh|GATE)|broken' <<<"$out" || true
  grep -q '^GATE passed' <<<"$out" || failed=1
done
exit "$failed"
