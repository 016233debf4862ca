#!/usr/bin/env bash
# Builds the programs of the second review's scripts, with their stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
done
