#!/bin/sh
# Random fault runs of fixed seeds, each with a protection turned off and on.
# Guards against checks of tests/fault/check that can't fail, and against runs
# whose faults no longer hit what they are meant for.
sh "$(dirname "$0")/run/unsafe.sh" <<'END'
ran-again 107 sched=--unsafe-ignore-epoch --steps 22
END
