# A scheduler is frozen while a standby takes over, and continues when a gang of
# its successor is done, before the successor knows.  Without the epoch it
# releases the gang as one that it doesn't know.  Sourced by random-run.sh.
# shellcheck shell=sh
reach "an active scheduler" is_replaced none
former=$found
begin_fault "$former" stop
reach "a takeover" is_replaced "$former"
successor=$found
number=1 jobs=1
step_get e-2 work_ms=10
reach "acceptance of the gang" gang_accepted 4000
reach "the gang runs" tasks_are j-1 1 running 2
begin_fault "$successor" stop
reach "the gang is done" tasks_are j-1 1 ended 2
end_fault "$former" stop
reach "the gang is released" tasks_are j-1 1 released 2
end_fault "$successor" stop
