# The scheduler of a running gang is frozen while the table doesn't answer, until
# the gang has ended: its lease is renewed by the standby, or expires.  Sourced
# by random-run.sh.
# shellcheck shell=sh
number=1 jobs=1
step_get e-2 work_ms=10
reach "acceptance of the gang" gang_accepted "$run_max_ms"
reach "the gang runs" tasks_are j-1 1 running 2
step_fault platform outage-refuse
step_fault active stop
reach "the gang has ended" tasks_are j-1 1 ended 2
step_heal active stop
step_heal platform outage-refuse
