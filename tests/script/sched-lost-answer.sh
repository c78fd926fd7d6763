# The table commits a write and its answer is lost.  Guards against a second
# start after a commit that seemed to fail, and against a submission that is
# answered as refused although the job is in the table.
. "$TG_TESTS/sched-lib.sh"
frozen_at_commit() { # NAME FLAG...: submits a gang to it
	platform
	plain_document
	worker w1
	worker w2
	sched "$@" --pause-at reserve
	await "the scheduler is ready" ready "$1" 2
	submit "$1" g 2 8 '"run_ms":1500' >/dev/null
	# Frozen with all reserved and the commit not yet sent.
	await "$1 is frozen" frozen "$1"
}
in_table() { # JOB
	get "$platform_http" "/v1/table/row?key=jobs/a/$1" | grep -q '"value"'
}

echo "# protection off: a lost answer counts as not written"
frozen_at_commit u1 --unsafe-assume-not-written
# The commit is the first or, after a renewal of the row, the second of them.
faults '{"lose_next":3}'
continue_it u1
await "the gang is done" job_is u1 g done
[ "$(job_field u1 g attempt)" -gt 1 ] && echo "started again"
# If a renewal of the row loses its answer first, the scheduler refuses the
# submission without writing it, and another one is tried.
accepts() { # SCHED JOB
	submit "$1" "$2" 1 1 '"run_ms":100' | grep -q '^ok'
}
for h in h1 h2 h3 h4 h5 h6 h7 h8 h9; do
	await "u1 accepts submissions" accepts u1 "before-$h"
	faults '{"outage":"lose_answer","only":"table"}'
	answer=$(submit u1 $h 2 8 '"run_ms":100' | cut -d' ' -f1)
	faults '{}'
	in_table $h && break
done
echo "submission, which an entry daemon answers as not run: $answer"
in_table $h && echo "the job is in the table"
for x in u1 w1 w2 platform; do
	stop_hard $x
done

echo "# protection on"
frozen_at_commit s1
faults '{"lose_next":3}'
continue_it s1
await "the gang is done" job_is s1 g done
echo "attempts: $(job_field s1 g attempt), at one time $(overlaps w1 w2)"
history w1 g
echo "answers lost: $(get "$platform_http" /standin/stats | jq .lost)"

# Every answer of the table is lost: the job may be in the table.
faults '{"outage":"lose_answer","only":"table"}'
echo "submission: $(submit s1 h 2 8 '"run_ms":100' | cut -d' ' -f1)"
faults '{}'
repeat() {
	submit s1 h 2 8 '"run_ms":100' | grep -q '^ok'
}
await "a repetition is answered" repeat
await "the job is done" job_is s1 h done
echo "attempts: $(job_field s1 h attempt)"
