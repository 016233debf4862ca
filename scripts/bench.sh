#!/usr/bin/env bash
# Runs all benchmarks (at most 10 minutes), prints their table and writes it to bench/out/bench.csv
# and, as a plot, to bench/out/bench.svg.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}/bench
out=bench/out
mkdir -p "$out"
{
  echo "area,metric,parameter,value,unit,target"
  scripts/bench_live.sh
  for bench in "$bin"/bench_*; do
    if [ -x "$bench" ] && [ -f "$bench" ]; then timeout 90 "$bench"; fi
  done
} | tee "$out/bench.csv"
gnuplot -c scripts/plot.gp "$out/bench.csv" "$out/bench.svg"
