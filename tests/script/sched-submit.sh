# Submissions: one job for the same name and content, refusals with their
# place, and jobs that can never run.  Guards against a second job from a
# repeated call and against jobs that wait for ever.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
sched s1
await "the scheduler is ready" ready s1 2

answer() { # TEXT
	printf '%s\n' "$1" | sed 's/{.*} *//; s/ *$//'
}

echo "first: $(field "$(submit s1 one 1 8)" job)"
await "it runs" job_is s1 one running
again=$(submit s1 one 1 8)
echo "again: $(field "$again" state), repeated $(field "$again" repeated)"
answer "other content: $(submit s1 one 1 4)"
answer "other workspace: $(call s1 submit rota one "$(spec one 1 8 | sed s/courts/rota/)")"
answer "unknown workspace: $(call s1 submit nobody x "$(spec x 1 1 | sed s/courts/nobody/)")"
answer "not JSON: $(call s1 submit courts x '{"tasks":')"
answer "sizes: $(call s1 submit courts x "$(spec x 0 -4)")"
answer "too big: $(submit s1 huge 3 8 | sed 's/[0-9][0-9]* workers/N workers/')"
echo "too big is unknown: $(call s1 status courts huge)"
answer "other az: $(call s1 submit courts x "$(spec x 1 1 | sed 's/"az":"a"/"az":"b"/')")"
echo "other's job: $(call s1 status rota one)"

# A job that ended is found in the table by a scheduler that starts anew.
call s1 cancel courts one >/dev/null
await "it is cancelled" job_is s1 one cancelled
stop_hard s1
sched s2
await "the next scheduler is ready" ready s2 2
echo "after a takeover: $(job_field s2 one state)"
echo "submitted again: $(field "$(submit s2 one 1 8)" state)"
