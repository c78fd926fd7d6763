# The steps of a random fault run.  Sourced by random-run.sh.
# shellcheck shell=sh
background=
keys=
jobs=

# in_background COMMAND...
in_background() {
	"$@" &
	background="$background $!"
}

step_get() { in_background attempt "$number" "$1" none "" GET "r$number?$2"; }
step_post() { in_background attempt "$number" "$1" none "" POST "r$number?$2"; }

step_burst() { # ENTRY COUNT QUERY
	n=0
	while [ $n -lt "$2" ]; do
		n=$((n + 1))
		in_background attempt "$number.$n" "$1" none "" \
			"$([ $((n % 2)) -eq 0 ] && echo GET || echo POST)" \
			"r$number-$n?$3"
	done
}

# at_two KIND KEY ENTRY ENTRY PATH: the same key at both, or at the first
at_two() {
	keys="$1,$2,$5 $keys"
	in_background attempt "$number" "$3" "$1" "$2" POST "$5"
	[ "$4" = - ] || in_background attempt "$number.2" "$4" "$1" "$2" POST "$5"
}

step_caller() { at_two caller "key-$number" "$1" "$2" "r$number?$3"; }

step_issued() {
	is_up "$1" || return 0
	issued=$(curl -s -m 1 -X POST "http://$(http_of "$1")/v1/keys" |
		jq -r '.key // empty' 2>/dev/null)
	[ -z "$issued" ] || at_two issued "$issued" "$2" "$3" "r$number?$4"
}

# step_again ENTRY N: the Nth last key once more
step_again() {
	k=$(echo "$keys" | cut -d' ' -f"$2")
	[ -z "$k" ] && return 0
	kind=${k%%,*}
	k=${k#*,}
	in_background attempt "$number" "$1" "$kind" "${k%%,*}" POST "${k#*,}"
}

submit() { # NUMBER ENTRY AZ TASKS ACCELERATORS RUN-MS CLASS
	call_line "$tmp/job-$1" -d "{\"workspace\":\"courts\",\"job\":\"j-$1\",
		\"class\":\"$7\",\"az\":\"$3\",\"tasks\":$4,
		\"accelerators_per_task\":$5,\"cores_per_task\":1,
		\"memory_gb_per_task\":1,\"within_rack\":false,
		\"declared_ms\":1000,\"task\":{\"run_ms\":$6}}" \
		"http://$(http_of "$2")/v1/jobs"
	jq -nc --arg j "j-$1" --argjson s "$status" --arg o "$outcome" \
		--arg e "$2" --argjson t "$times" '{kind: "submit", job: $j,
		status: $s, outcome: $o, entry: $e} + $t' >"$tmp/job-$1.json"
}

step_job() {
	jobs="$number $jobs"
	in_background submit "$number" "$@"
}

cancel() { # NUMBER JOB ENTRY
	call_line "$tmp/cancel-$1" -X DELETE \
		"http://$(http_of "$3")/v1/jobs/courts/j-$2"
	jq -nc --arg j "j-$2" --argjson s "$status" --arg o "$outcome" \
		--arg e "$3" --argjson t "$times" '{kind: "cancel", job: $j,
		status: $s, outcome: $o, entry: $e} + $t' \
		>"$tmp/cancel-$1.json"
}

step_cancel() { # ENTRY N: the Nth last job
	j=$(echo "$jobs" | cut -d' ' -f"$2")
	[ -z "$j" ] || in_background cancel "$number" "$j" "$1"
}

# save_document GENERATION MARKER NUMBER: the marker is the last workspace.
# Bursts are of up to 8 requests, so that they reach the limit in flight.
save_document() {
	jq -nc --arg m "$2" '{version: 1, weights: {completion: 70,
		fragmentation: 30}, workspaces: [{name: "courts",
		max_in_flight: 6, rate_per_s: 1000}, {name: $m}],
		services: [{name: "responder", workspaces: ["courts"],
		azs: ["a", "b"], timeout_ms: 700, queue: 256,
		idempotent_methods: ["GET", "HEAD"]}]}' >"$tmp/save-$3.document"
	call_line "$tmp/save-$3" -X PUT -T "$tmp/save-$3.document" \
		-H "Authorization: Bearer $(cat "$tmp/key")" \
		-H 'X-Tg-Operator: ada' \
		"http://$console_http/v1/document?generation=$1"
	jq -nc --arg m "$2" --argjson from "$1" --argjson s "$status" \
		--rawfile body "$tmp/save-$3.body" --argjson t "$times" \
		'{kind: "save", marker: $m, from: $from, status: $s,
		entry: "console", generation:
		(try ($body | fromjson | .generation) catch null)} + $t' \
		>"$tmp/save-$3.json"
	[ "$status" = 200 ]
}

loaded_generation() {
	curl -s -m 2 -H "Authorization: Bearer $(cat "$tmp/key")" \
		"http://$console_http/v1/document" |
		jq -r '.generation // empty' 2>/dev/null
}

step_save() {
	g=$(loaded_generation)
	[ -z "$g" ] || in_background save_document "$g" "save-$number" "$number"
}

step_save_twice() {
	g=$(loaded_generation)
	[ -z "$g" ] && return 0
	in_background save_document "$g" "save-$number" "$number"
	in_background save_document "$g" "save-$number-2" "$number-2"
}

# gang_workers: those that now hold a part of a gang that is on several
gang_workers() {
	for gw in $az_a_workers; do
		is_up "$gw" || continue
		curl -s -m 0.5 "http://$(http_of "$gw")/v1/state" |
			jq -e '[.leases[] | select(.state == "running")] |
			group_by([.job, .attempt]) |
			any(length < .[0].gang_size)' >/dev/null 2>&1 &&
			echo "$gw"
	done
}

# A gang starts in less than 1 s if there is room for it.
find_gang_worker() {
	i=0
	while [ $i -lt 10 ]; do
		i=$((i + 1))
		# shellcheck disable=SC2046
		set -- $(gang_workers)
		if [ $# -gt 0 ]; then
			shift $((number % $#))
			echo "$1"
			return
		fi
		sleep 0.1
	done
	echo w-1
}

find_active() {
	for e in e-1 e-2; do
		is_up "$e" || continue
		curl -s -m 0.5 "http://$(http_of "$e")/v1/peers" |
			jq -r '[.peers[] | select(.active and .az == "a")] |
			max_by(.epoch).instance // empty' 2>/dev/null
	done | sed -n '$p'
}

# is_replaced SCHED: another one is active, also for the entry daemons
is_replaced() {
	found=$(find_active)
	[ -n "$found" ] && [ "$found" != "$1" ]
}

# gang_accepted RUN-MS: j-1, a gang on two workers, is known to the scheduler
gang_accepted() {
	submit 1 e-2 a 2 8 "$1" urgent
	[ "$status" = 200 ] || [ "$status" = 201 ]
}

# tasks_are JOB ATTEMPT STATE COUNT: so many tasks have reached that state
tasks_are() {
	[ "$(cat "$tmp"/w-*.log | jq -s --arg j "$1" --argjson a "$2" \
		--arg s "$3" '[.[] | select(.kind == "task" and .job == $j and
		.attempt == $a and .state == $s)] | length')" -ge "$4" ]
}

# The instance in the claim of the last key, or the home of an issued one
find_claimer() {
	k=${keys%% *}
	k=${k#*,}
	k=${k%%,*}
	case $k in
	tgk1.*) echo "$k" | cut -d. -f3 ;;
	*) curl -s -m 0.5 \
		"http://$platform_http/v1/table/row?key=claims/courts/$k" |
		jq -r '.value.instance // empty' 2>/dev/null ;;
	esac
}

# aim TARGET: sets target to the process that now is what TARGET names, or to
# nothing if another fault has hit it already
aim() {
	case $1 in
	gang-worker) target=$(find_gang_worker) ;;
	active) target=$(find_active) ;;
	claimer) target=$(find_claimer) ;;
	*) target=$1 ;;
	esac
	case "$1 $target" in
	"active ") target=s-1 ;;
	"claimer ") target=e-1 ;;
	esac
	case " ${faulty:-}" in
	*" $target,"*) target= ;;
	esac
	eval "aimed_$(echo "$1" | tr - _)=$target"
	[ -n "$target" ]
}

# step_fault TARGET KIND
step_fault() {
	aim "$1" || return 0
	note "step $number: target $target"
	begin_fault "$target" "$2"
}

begin_fault() { # NAME KIND
	record --arg n "$1" --arg f "$2" --argjson t "$(now_ms)" \
		'{kind: "fault", name: $n, fault: $f, at_ms: $t}'
	case $2 in
	kill) kill_process "$1" ;;
	term) terminate "$1" ;;
	stop)
		is_own "$(pid_of "$1")" && kill -STOP "$(pid_of "$1")"
		set_down "$1" 1
		;;
	outage-refuse) fault "$1" '{"outage":"refuse"}' ;;
	outage-hang) fault "$1" '{"outage":"hang"}' ;;
	outage-lose) fault "$1" '{"outage":"lose_answer","only":"table"}' ;;
	slow)
		if [ "$1" = platform ]; then
			fault "$1" '{"slow_ms":250}'
		else
			fault "$1" '{"service_delay_ms":600}'
		fi
		;;
	lose-next) fault "$1" '{"lose_next":3}' ;;
	cut) fault "$1" '{"cut":true}' ;;
	hang) fault "$1" '{"hang_service":true}' ;;
	late) fault "$1" '{"answer_late_ms":1300}' ;;
	closes) fault "$1" '{"close_after_read":true}' ;;
	draining) fault "$1" '{"draining":true}' ;;
	esac
	record --arg n "$1" --arg f "$2" --argjson t "$(now_ms)" \
		'{kind: "fault-set", name: $n, fault: $f, at_ms: $t}'
	faulty="${faulty:-} $1,$2"
}

# step_heal TARGET KIND
step_heal() {
	eval "target=\${aimed_$(echo "$1" | tr - _):-}"
	[ -z "$target" ] || end_fault "$target" "$2"
}

end_fault() { # NAME KIND
	[ "$2" != term ] || end_of "$1"
	record --arg n "$1" --arg f "$2" --argjson t "$(now_ms)" \
		'{kind: "heal", name: $n, fault: $f, at_ms: $t}'
	case $2 in
	kill | term) launch "$1" ;;
	stop)
		is_own "$(pid_of "$1")" && kill -CONT "$(pid_of "$1")"
		set_down "$1" 0
		;;
	*) fault "$1" '{}' ;;
	esac
	left=
	for x in $faulty; do
		[ "$x" = "$1,$2" ] || left="$left $x"
	done
	faulty=$left
}

heal_all() {
	for x in ${faulty:-}; do
		end_fault "${x%,*}" "${x#*,}"
	done
}

# Longest time from the end of all faults to rest, in seconds, over all that
# has to be reached.  A run has to end before its test is cut off, since the
# history is checked at its end.
rest_max_s=90

# Longest time for the steps of a scene, in seconds
scene_max_s=90

# reach WHAT COMMAND...: like await, but the run goes on without it
reach() {
	what=$1
	shift
	until "$@" >/dev/null 2>&1; do
		if [ "$(now_ms)" -gt "$rest_until_ms" ]; then
			record --arg w "$what" '{kind: "not-reached", what: $w}'
			return 0
		fi
		sleep 0.2
	done
}

# read_job NUMBER: sets status, and state and reason, which are empty if there
# is no such job
read_job() {
	call_line "$tmp/state" "http://$e_1_http/v1/jobs/courts/j-$1"
	state=$(jq -r '.state // empty' "$tmp/state.body" 2>/dev/null)
	reason=$(jq -r '.reason // empty' "$tmp/state.body" 2>/dev/null)
}

# Every job of a run fits the fleet and takes at most 6.1 s, so that none may
# stay queued when all faults have ended.
job_at_rest() { # NUMBER
	read_job "$1"
	case $state in
	done | cancelled | parked) return 0 ;;
	"") [ "$status" = 404 ] ;;
	*) return 1 ;;
	esac
}

answered_by() { # ENTRY
	call_line "$tmp/last" -H 'Tg-Workspace: courts' \
		"http://$(http_of "$1")/v1/svc/responder/last"
	[ "$outcome" = answered ] && [ "$status" = 200 ]
}

# generation_of NAME: of the document in force there
generation_of() {
	curl -s -m 2 "http://$(http_of "$1")/metrics" |
		sed -n 's/^tg_document_generation //p'
}

in_force() { # GENERATION: at every daemon
	for p in $entries $scheds console; do
		[ "$(generation_of "$p")" = "$1" ] || return 1
	done
}

record_generations() {
	for p in $entries $scheds console; do
		record --arg n "$p" --arg g "$(generation_of "$p")" \
			'{kind: "final-generation", name: $n,
			generation: ($g | tonumber? // 0)}'
	done
}

come_to_rest() {
	rest_until_ms=$(($(now_ms) + 1000 * rest_max_s))
	for p in $background; do
		wait "$p"
	done
	for p in $entries; do
		reach "answer of $p" answered_by "$p"
	done
	reach "a last save" last_save
	reach "the last document everywhere" in_force "$(loaded_generation)"
	record_generations
	for j in $jobs; do
		reach "end of j-$j" job_at_rest "$j"
		record --arg j "j-$j" --arg s "$state" --arg r "$reason" \
			'{kind: "final-job", job: $j, state: $s, reason: $r}'
	done
}

last_save() {
	save_document "$(loaded_generation)" save-last last
}
