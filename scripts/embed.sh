#!/usr/bin/env bash
# Installs the packages below the build folder, then builds and runs a project that uses only core.
# Usage: embed.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
prefix=$(realpath "$build")/embed
cmake --install "$build" --prefix "$prefix" >/dev/null
cmake -S examples/embed -B "$prefix/project" -G Ninja -DCMAKE_PREFIX_PATH="$prefix" >/dev/null
cmake --build "$prefix/project"
"$prefix/project/embed_core"
