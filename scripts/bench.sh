#!/usr/bin/env bash
# Runs every measurement, prints the table and writes bench/out/bench.csv and bench/out/bench.svg.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}/bench
out=bench/out
mkdir -p "$out"
echo "area,metric,parameter,value,unit,target" >"$out/bench.csv"
for bench in "$bin"/bench_*; do
  [ -x "$bench" ] && [ -f "$bench" ] || continue
  timeout 300 "$bench" | tee -a "$out/bench.csv"
done
