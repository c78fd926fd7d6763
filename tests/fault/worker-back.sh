#!/bin/sh
# A worker without tasks gives no answer until it counts as lost, then answers
# again without a restart.  Guards against a worker that is never used again;
# found by random-run.sh --seed 65 --steps 80.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
sched s1
await "s1 is ready" ready s1 1
post "$w1_http" /standin/faults '{"cut":true}' >/dev/null
await "the worker is lost" grep -q EV3010 "$W/s1.err"
post "$w1_http" /standin/faults '{}' >/dev/null
submit s1 after 1 4 '"run_ms":100' >/dev/null
await "the job is done" job_is s1 after done
echo "done on the worker that came back"
