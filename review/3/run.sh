#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the program reads it (hasTrouble in review/common).
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE=${TROUBLE:-1}
exec timeout -s KILL 118 review/out/case-3 review/3/record.txt
