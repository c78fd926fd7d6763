#!/bin/sh
# Fault runs, each with a protection turned off and on.
# Guards against checks of tests/fault/check that can't fail, and against runs
# whose faults no longer hit what they are meant for.
sh "$(dirname "$0")/run/unsafe.sh" <<'END'
not-renewed stopped-in-outage sched=--unsafe-no-outage-renewal --lease-ms 6000 --run-max-ms 14000
part-alone 10 sched=--unsafe-renew-partial-gangs --steps 20 --lease-ms 2400 --fault-max-ms 9000 --run-max-ms 9000 --flag sched=--worker-lost-ms=600000
two-attempts cut-worker sched=--unsafe-restart-before-expiry --lease-ms 12000 --run-max-ms 14000
cut-request 892 entry=--drain-max-ms=50 --steps 20
END
