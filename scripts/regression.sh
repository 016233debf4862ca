#!/usr/bin/env bash
# Plays the standard days of the milestone's deployments on the users' bench, and compares the mean
# worth of the days with trouble with the figures to hold. Run by hand: the kit is absent in CI.
# Usage: regression.sh KIT_DIR "WHY" [SITE...]; JOBS days at once, 2 unless set.
set -euo pipefail
cd "$(dirname "$0")/.."
kit=$(realpath "$1")/more/system
why=$2
shift 2
bench=$kit/more/bench-d17393/bin/fleetbench
# Figures within this are noise, as processor time is measured.
tolerance=0.03
# Site file and the mean worth to hold, from the journal.
sites=(
  "large/rcu-norte-large 0.679"
  "further/bmrf-rollout 0.529"
  "further-grown/bmrf-rollout-grown 0.600"
  "grown/rcu-norte-grown 0.797"
  "grown/nibhost-tt-grown 0.828"
)

failed=0
for entry in "${sites[@]}"; do
  read -r site least <<<"$entry"
  [ $# -eq 0 ] || [[ " $* " == *" ${site##*/} "* ]] || continue
  report=$(mktemp)
  "$bench" score "$kit/$site.toml" --no-cpu --jobs "${JOBS:-2}" --why "$why" >"$report" 2>&1 || true
  # Lines of days: name, machines, score, worth, ...
  worth=$(awk '$1 ~ /^(trouble|scale)-[0-9]+$/ && $2 ~ /\// { sum += $4; n++ }
    END { if (n > 0) printf "%.3f", sum / n; else print "none" }' "$report")
  gate=$(grep -o 'GATE [a-z]*' "$report" | tail -n 1)
  echo "$site: mean worth with trouble $worth, to hold $least; ${gate:-no verdict of the gate}"
  if [ "$gate" != "GATE passed" ] ||
    ! awk -v w="$worth" -v l="$least" -v t="$tolerance" 'BEGIN { exit !(w >= l - t) }'; then
    failed=1
    cat "$report"
  fi
  rm "$report"
done
exit "$failed"
