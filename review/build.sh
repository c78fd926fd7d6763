#!/bin/sh
# Builds the stand-ins that the scripts in review/ start, into build/bin.  The
# daemons under review come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=build tests/standin/sited/
make -s BUILD=build -C review/standin/limitd
make -s -j8 BUILD=build tests/standin/proxyd/
