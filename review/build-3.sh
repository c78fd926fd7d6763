#!/bin/sh
# Builds the stand-in that the scripts of cases 11 to 15 start, beside the
# programs that the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target tests/standin/sited/
