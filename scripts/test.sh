#!/usr/bin/env bash
# Runs every test. The tests listed in KNOWN-RED.txt run last and are printed; only they may fail.
# Usage: test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
list=KNOWN-RED.txt
red=""
if [ -s "$list" ]; then
  red=$(sed -n 's/^test: *\([^ ]*\).*/\1/p' "$list" | paste -sd '|')
fi
ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 \
  ${red:+--exclude-regex "^($red)\$"}
[ -n "$red" ] || exit 0
echo "known red:"
cat "$list"
ctest --test-dir "$build" --no-tests=error -j 4 --tests-regex "^($red)\$" ||
  echo "known red: the failures above are listed in $list and do not fail this check"
