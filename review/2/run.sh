#!/usr/bin/env bash
# A key is taken away while two machines, one of them slow, are cut off from the store and all other
# machines. Exits with 1 if a request runs that was sent over 5 s later, 0 if none does, 2 if the
# case couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
target/review/release/review_standins revoked-in-an-island "$folder" "$temporary"
