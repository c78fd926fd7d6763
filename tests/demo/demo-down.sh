#!/bin/sh
# Stops what demo-up started.
. "$(dirname "$0")/lib.sh"
down
echo "down"
