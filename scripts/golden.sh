#!/usr/bin/env bash
# Usage: golden.sh diff|renew [BUILD_DIR]
# Shows the differences between the golden sessions and their golden files, or overwrites the files.
# Review the differences before `renew`.
set -euo pipefail
cd "$(dirname "$0")/.."
action=${1:-diff}
build=${2:-build}
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
GOLDEN_OUTPUT=$output "$build/tests/scenarios/test_scenarios" --test-case='golden*' >"$output/log" ||
  grep ERROR "$output/log" | grep -v 'CHECK( isEqual )' >&2 || true
rm "$output/log"
case $action in
diff) diff -ruN --exclude='*.scenario' tests/golden "$output" ;;
renew) cp "$output"/*.txt tests/golden/ ;;
*)
  echo "usage: golden.sh diff|renew [BUILD_DIR]" >&2
  exit 2
  ;;
esac
