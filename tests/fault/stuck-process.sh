#!/bin/sh
# A random run hung without output when a process did not end after SIGTERM, or
# when something was not reached in time, so that its history was lost.
. "$(dirname "$0")/../lib.sh"
lease_ms=4000
. "$(dirname "$0")/run/record.sh"
. "$(dirname "$0")/run/processes.sh"
. "$(dirname "$0")/run/steps.sh"

sh -c 'trap "" TERM; while :; do sleep 0.1; done' &
stuck_pid=$!
pids="$pids $stuck_pid"
sleep 0.3
kill -TERM "$stuck_pid"
end_max_s=1
end_of stuck
rest_until_ms=$(($(now_ms) + 1000))
reach "the impossible" false
reach "something else, later" false
cat "$tmp/history"
