#!/bin/sh
# Builds the stand-in that the scripts of review/6 to review/10 start, beside
# the programs that the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 tests/standin/sited/ BUILD=target
