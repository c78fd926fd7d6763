#!/bin/sh
# Fault runs, each with a protection turned off and on.
# Guards against checks of tests/fault/check that can't fail, and against runs
# whose faults no longer hit what they are meant for.
sh "$(dirname "$0")/run/unsafe.sh" <<'END'
ran-again late-scheduler sched=--unsafe-ignore-epoch --lease-ms 8000
END
