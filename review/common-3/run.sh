#!/usr/bin/env bash
# Runs a case: common-3/run.sh N. Exits with 1 if the rule was broken, with 0 if it held and with 2
# if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
case_number=$1
program=target/review-3/case-$case_number
DAEMON=target/packages/node/geraniumpulleyd
[ -x "$program" ] && [ -x "$DAEMON" ] || exit 2
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
RECORD=review/$case_number/record.txt
export DAEMON WORK RECORD
timeout -k 1 115 "$program"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
