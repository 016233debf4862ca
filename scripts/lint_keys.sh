#!/usr/bin/env bash
# Prints "KEY SOURCE" for each source that the build compiles. The key covers all that the linter's
# verdict depends on: the linter, its configuration, the compiler's command line, and the contents of
# the source and of every header that it includes. Paths below the repository count by their place in
# it, so that clones share keys.
# Usage: lint_keys.sh BUILD_DIR, after a build.
set -euo pipefail
build=$1
root=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# "OBJECT FILE" for each file that an object depends on; the source comes first.
ninja -C "$build" -t deps | awk '/: #deps/ { sub(/:$/, "", $1); object = $1; next }
  NF == 1 { print object, $1 }' >"$work/files"
cut -d' ' -f2 "$work/files" | sort -u |
  (cd "$build" && xargs sha256sum) | awk '{ print $2, $1 }' >"$work/sums"
# "SOURCE COMMAND" for each compiled source, without paths that differ between clones.
awk -F'"' '/"command":/ { command = $4 } /"file":/ { print $4, command }' \
  "$build/compile_commands.json" | sed "s#$root/$build#BUILD#g" >"$work/commands"
common=$({ clang-tidy --version; cat .clang-tidy scripts/lint.sh; } | sha256sum)

awk -v root="$root/" -v common="$common" -v work="$work" '
  function report() {
    if (source == "" || !(source in commands)) return
    file = work "/unit"
    printf "%s\n%s\n%s", common, commands[source], inputs >file
    close(file)
    command = "sha256sum <" file
    command | getline sum
    close(command)
    split(sum, parts, " ")
    name = source
    sub(root, "", name)
    print parts[1], name
  }
  FILENAME ~ /sums$/ { sums[$1] = $2; next }
  FILENAME ~ /commands$/ { path = $1; sub(/^[^ ]* /, ""); gsub(root, ""); commands[path] = $0; next }
  { if ($1 != object) { report(); object = $1; source = $2; inputs = "" }
    name = $2; sub(root, "", name)
    inputs = inputs name " " sums[$2] "\n" }
  END { report() }' "$work/sums" "$work/commands" "$work/files" | sort -u -k2
