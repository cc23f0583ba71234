#!/bin/sh
# Builds the stand-ins of the third review, after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/standins-3"
cargo build --release --locked --offline
