#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. The
# build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/harness -B target/review -DCMAKE_BUILD_TYPE=Release -Wno-dev --log-level=ERROR > /dev/null
cmake --build target/review -j"$(nproc)" > /dev/null
