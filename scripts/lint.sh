#!/usr/bin/env bash
# Checks the format, runs the linter, and checks that the core has no input or output.
# Usage: lint.sh BUILD_DIR [BASE]; with BASE the linter checks only sources changed since it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
base=${2:-}
mapfile -t sources < <(git ls-files -co --exclude-standard '*.hpp' '*.cpp')
mapfile -t units < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '^examples/')
if [ -n "$base" ]; then
  mapfile -t units < <({ git diff --name-only --diff-filter=d "$base" -- '*.cpp' &&
    git ls-files -o --exclude-standard '*.cpp'; } | sort -u)
fi

echo "lint: formatter"
clang-format --dry-run -Werror "${sources[@]}"

echo "lint: core has no input, output, clock, thread, log or encoding"
forbidden='#include *<(cpprest|pplx|nghttp2|msgpack|boost/(asio|beast)|sys/|netinet|arpa|unistd|fcntl|fstream|iostream|cstdio|thread|mutex|condition_variable|atomic|fmt|filesystem|geraniumpulley/(codec|runtime|net|node))|_clock::now|getenv'
if grep -rnE "$forbidden" packages/core/include packages/core/src; then
  echo "lint: the lines above do not belong in core" >&2
  exit 1
fi

# A source is passed over if the linter has found nothing in it before, with the same configuration,
# command line, source and headers (lint_keys.sh).
cache=${LINT_CACHE:-$HOME/.cache/geraniumpulley-lint}
mkdir -p "$cache"
declare -A keys
while read -r key unit; do keys[$unit]=$key; done < <(scripts/lint_keys.sh "$build")
unchecked=()
for unit in "${units[@]}"; do
  key=${keys[$unit]:-}
  if [ -z "$key" ] || [ ! -e "$cache/$key" ]; then unchecked+=("$unit"); fi
done
echo "lint: linter on ${#unchecked[@]} of ${#units[@]} sources, the others are known to pass"
[ "${#unchecked[@]}" -gt 0 ] || exit 0
run-clang-tidy -quiet -j "${LINT_JOBS:-$(nproc)}" -p "$build" "${unchecked[@]}" >"$build/lint.log" 2>&1 || {
  grep -E 'error:|warning:' "$build/lint.log" | sort -u >&2
  exit 1
}
# A source that was edited meanwhile is not known to pass in either form.
while read -r key unit; do
  if [ "${keys[$unit]:-}" = "$key" ]; then touch "$cache/$key"; fi
done < <(scripts/lint_keys.sh "$build" | grep -F -f <(printf ' %s\n' "${unchecked[@]}"))
