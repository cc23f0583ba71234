#!/usr/bin/env bash
# Streams that may be resumed, at engines that fail a part of their requests and break off some
# answers. Exits with 1 if a stream that was broken off looks complete, 0 if none does, 2 if the
# case couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
target/review/release/review_standins stream-after-error "$folder" "$temporary"
