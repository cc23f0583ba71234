#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
CASE_DIR="$PWD/review/6"
ROUTER="$PWD/target/release/daisynotch-router"
PROGRAM="$PWD/target/review-standins-2/release/slow_readers"
export CASE_DIR ROUTER
if [ ! -x "$ROUTER" ] || [ ! -x "$PROGRAM" ]; then
    echo "build the router and the stand-ins first"
    exit 2
fi
timeout -k 1 115 "$PROGRAM"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
