#!/bin/sh
# Starts stand-ins and the system for two AZs and leaves them running.
. "$(dirname "$0")/lib.sh"
up
echo "up: $(wc -l <"$dir/pids") processes; addresses in build/demo/addresses"
