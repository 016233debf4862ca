#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/out/, and the daemon unless the deploy file's build
# has made it.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/out
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/common)
g++ "${flags[@]}" -c review/common/harness.cpp -o "$out/harness.o"
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/harness.o" -o "$out/case-$number"
done
if [ ! -x target/packages/node/geraniumpulleyd ]; then
  cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF -DGERANIUMPULLEY_DAEMON_ONLY=ON
  cmake --build target -j8 --target geraniumpulleyd
fi
