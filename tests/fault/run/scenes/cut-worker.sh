# A worker of a running gang is cut off, and its lease outlasts the time until
# the gang runs again.  Sourced by random-run.sh.
# shellcheck shell=sh
number=1 jobs=1
step_get e-2 work_ms=10
reach "acceptance of the gang" gang_accepted "$run_max_ms"
reach "the gang runs" tasks_are j-1 1 running 2
step_fault gang-worker cut
reach "the gang runs again" tasks_are j-1 2 running 2
step_heal gang-worker cut
