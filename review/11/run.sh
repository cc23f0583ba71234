#!/bin/sh
# Prompts with one part crash each replica after the first event of its answer; takes 30 s.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x review/standins-3/target/release/drill3 || { echo "run review/build-3.sh first"; exit 2; }
test -x target/release/daisynotch-router || { echo "run the build of the deploy file first"; exit 2; }
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
exec review/standins-3/target/release/drill3 deadly-first-event review/11 "$TROUBLE"
