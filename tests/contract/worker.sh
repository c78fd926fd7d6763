#!/bin/sh
# The worker stand-in against docs/platform-contract.md: fencing, leases, and
# the backend server.  The schedulers' and entry daemons' tests rely on it.
. "$(dirname "$0")/common.inc"
start platformd platformd
platform=$http
start w-1 workerd --platform "$platform" --slots 2 --connections 3
worker=$pid
agent=http://$http
service=http://$rpc
listed() {
	curl -s "http://$platform/v1/instances" |
		jq -e '.instances[0].state == "'"$1"'"'
}
await "registration" listed live
call "registered" '.instances[0] | [.name, .kind, .az, .rack, .cores,
	.memory_gb, .accelerators, .slots, .connections]' \
	"http://$platform/v1/instances?az=a"

boot=$(curl -s "$agent/v1/state" | jq -r .boot)
now() {
	curl -s "$agent/v1/state" | jq .now_ms
}
# The operations of a batch; RESERVE and the like stand for common members.
expand() {
	sed -e 's/@\([a-z]*\) \([a-z0-9]*\) \([0-9]*\)/"op":"\1","job":"\2","attempt":\3,"index":0/g' \
		-e 's/@room/"gang_size":1,"accelerators":4,"cores":8,"memory_gb":16/g' \
		-e "s/@later/$((t + 600000))/g" -e "s/@past/$((t - 1))/g"
}
# Progress is shown of tasks that are done; that of others depends on timing.
shown='if .results then [.results, .ended] | walk(if type == "object" then
	del(.expires_ms) | if .reason and .reason != "done" then
	del(.progress_ms) else . end else . end) else del(.now_ms, .boot, .worker, .draining)
	end'
ops() { # NAME OPS [EPOCH [BOOT]]
	t=$(now)
	printf '{"epoch":%s,"boot":"%s","ops":[%s]}' "${3:-5}" "${4:-$boot}" \
		"$2" | expand >"$tmp/ops"
	call "$1" "$shown" -d "@$tmp/ops" "$agent/v1/commands"
}
table() {
	while IFS='|' read -r name body; do
		ops "$name" "$body"
	done
}

echo "# epochs"
while IFS='|' read -r name body; do
	call "$name" '[.error, .place, .epoch, .free]' -d "$body" \
		"$agent/v1/epoch"
done <<'END'
install|{"az":"a","epoch":4,"holder":"s-1"}
install again|{"az":"a","epoch":4,"holder":"s-1"}
higher|{"az":"a","epoch":5,"holder":"s-2"}
lower|{"az":"a","epoch":4,"holder":"s-1"}
other az|{"az":"b","epoch":9,"holder":"s-3"}
zero|{"az":"a","epoch":0,"holder":"s-1"}
text|{"az":"a","epoch":"6","holder":"s-1"}
no holder|{"az":"a","epoch":6}
no JSON|{"az":
END
call "inventory" 'del(.now_ms, .boot)' "$agent/v1/state"
ops "stale epoch" '{@reserve j 1,@room,"expires_ms":@later}' 4
ops "wrong boot" '{@reserve j 1,@room,"expires_ms":@later}' 5 other
ops "stale epoch and wrong boot" '' 4 other
call "nothing was done" '.leases' "$agent/v1/state"

echo "# invalid commands"
table <<'END'
unknown operation|{@burn j 1}
no attempt|{"op":"stop","job":"j","index":0}
attempt 0|{@stop j 0}
no job|{"op":"stop","attempt":1,"index":0}
negative size|{@reserve j 1,"gang_size":1,"accelerators":-1,"cores":1,"memory_gb":1,"expires_ms":@later}
huge size|{@reserve j 1,"gang_size":1,"accelerators":9223372036854775807,"cores":1,"memory_gb":1,"expires_ms":@later}
no expiry|{@reserve j 1,@room}
percent 0|{@throttle j 1,"percent":0}
percent 101|{@throttle j 1,"percent":101}
the second is invalid|{@reserve j 1,@room,"expires_ms":@later},{@stop j 0}
END
call "no body" 'del(.now_ms, .boot)' -d '' "$agent/v1/commands"
call "no ops" '.place' -d '{"epoch":5,"boot":"b"}' "$agent/v1/commands"
jq -nc --arg b "$boot" '{epoch: 5, boot: $b, ops:
	[range(257) | {op: "stop", job: "j", attempt: 1, index: .}]}' >"$tmp/many"
call "257 operations" '.place' -d "@$tmp/many" "$agent/v1/commands"
jq -nc '{epoch: 5, boot: ("x" * 1100000)}' >"$tmp/big"
too_big "more than 1 MiB" -d "@$tmp/big" "$agent/v1/commands"
call "nothing was done" '.leases' "$agent/v1/state"

echo "# leases"
table <<'END'
reserve|{@reserve j 1,@room,"expires_ms":@later,"workspace":"w","class":"lent"}
reserve again|{@reserve j 1,@room,"expires_ms":@later}
reserve with past expiry|{@reserve k 1,@room,"expires_ms":@past}
reserve the rest|{@reserve k 1,@room,"expires_ms":@later}
reserve without room|{@reserve l 1,@room,"expires_ms":@later}
start|{@start j 1}
start again|{@start j 1}
start without lease|{@start l 1}
start of another attempt|{@start j 2}
renew|{@renew j 1,"expires_ms":@later}
renew without lease|{@renew l 1,"expires_ms":@later}
throttle|{@throttle j 1,"percent":50}
checkpoint of a reservation|{@checkpoint k 1}
release of a running task|{@release j 1}
stop of a reservation|{@stop k 1}
repeated until released|
release|{@release k 1}
release again|{@release k 1}
stop without lease|{@stop k 1}
stop|{@stop j 1}
stop again|{@stop j 1}
reserve of an ended lease|{@reserve j 1,@room,"expires_ms":@later}
start of an ended lease|{@start j 1}
renew of an ended lease|{@renew j 1,"expires_ms":@later}
release the task|{@release j 1}
release of a reservation|{@reserve m 1,@room,"expires_ms":@later},{@release m 1}
END
before=$(now)
ops "reserve for a renewal" '{@reserve r 1,@room,"expires_ms":@later}'
ops "renew to an earlier time" '{@renew r 1,"expires_ms":'$((before + 1))'}'
call "it did not move back" ".leases[0].expires_ms >= $before + 600000" \
	"$agent/v1/state"
ops "release it" '{@release r 1}'

echo "# tasks"
table <<'END'
task that fails|{@reserve f 1,@room,"expires_ms":@later,"task":{"fail":true}},{@start f 1}
release it|{@release f 1}
task without run time|{@reserve d 1,@room,"expires_ms":@later,"task":{"run_ms":0}},{@start d 1}
release it|{@release d 1}
goes on from a checkpoint|{@reserve c 2,@room,"expires_ms":@later,"checkpoint":"ckpt/c/1/0/5000","task":{"run_ms":5000}},{@start c 2}
release it|{@release c 2}
checkpoint, then stop|{@reserve p 1,@room,"expires_ms":@later,"checkpoint":"ckpt/p/0/0/7000","task":{"run_ms":900000}},{@start p 1}
END
t=$(now)
printf '{"epoch":5,"boot":"%s","ops":[{@checkpoint p 1},{@stop p 1}]}' "$boot" |
	expand >"$tmp/ops"
call "the checkpoint has the progress" '.ended[0] | [.reason,
	(.checkpoint | test("^ckpt/p/1/0/[0-9]+$")), .progress_ms >= 7000,
	(.checkpoint | split("/")[4] | tonumber) <= .progress_ms]' \
	-d "@$tmp/ops" "$agent/v1/commands"
ops "release it" '{@release p 1}'
ops "task that is done" \
	'{@reserve e 1,@room,"expires_ms":@later,"task":{"run_ms":300}},{@start e 1}'
ended() {
	curl -s "$agent/v1/state" |
		jq -e '[.leases[] | select(.state != "ended")] == []'
}
await "end of the task" ended
ops "done" '{@release e 1}'
curl -s -o /dev/null -d '{"fail_tasks":true}' "$agent/standin/faults"
ops "fails every task" '{@reserve g 1,@room,"expires_ms":@later},{@start g 1}'
curl -s -o /dev/null -d '{"refuse_starts":true}' "$agent/standin/faults"
ops "refuses to start" \
	'{@release g 1},{@reserve h 1,@room,"expires_ms":@later},{@start h 1}'
curl -s -o /dev/null -d '{}' "$agent/standin/faults"
ops "starts after that" '{@start h 1},{@stop h 1},{@release h 1}'

echo "# expiry"
soon=$(($(now) + 3000))
ops "task and reservation" '{@reserve x 1,@room,"expires_ms":'$soon'},
	{@start x 1},{@reserve y 1,@room,"expires_ms":'$soon'}'
await "expiry" ended
ops "both expired" '{@renew x 1,"expires_ms":@later},{@start y 1}'
call "their room is free" '.free' "$agent/v1/state"
ops "release them" '{@release x 1},{@release y 1}'
echo "# renewal of all leases"
# The digests are those of the example in docs/platform-contract.md, or sums of
# its parts; a worker that computes them otherwise renews nothing.
train0=fcf9008ffc9ee085 both=568b25f0c2c1c9d9 three=08e170b292788b70
none=0000000000000000
all() { # NAME COUNT DIGEST [EXPIRY [FILTER]]
	printf '{"epoch":5,"boot":"%s","ops":[{"op":"renew_all","count":%s,
		"digest":"%s","expires_ms":%s}]}' "$boot" "$2" "$3" \
		"${4:-$later}" >"$tmp/ops"
	call "$1" "${5:-$brief}" -d "@$tmp/ops" "$agent/v1/commands"
}
brief='if .results then .results[0] | if .leases then .leases |= map([.job,
	.attempt, .index, .state]) else . end else [.error, .place] end'
expiries() { # NAME: which running leases have the expiry $later
	call "$1" "[.leases[] | select(.state == \"running\") |
		[.job, .attempt, .index, .expires_ms == $later]] | sort" \
		"$agent/v1/state"
}
member() { # JOB ATTEMPT INDEX GANG-SIZE
	printf '{"op":"reserve","job":"%s","attempt":%s,"index":%s,
		"gang_size":%s,"accelerators":1,"cores":1,"memory_gb":1,
		"expires_ms":@later},{"op":"start","job":"%s","attempt":%s,
		"index":%s}' "$1" "$2" "$3" "$4" "$1" "$2" "$3"
}
later=$(($(now) + 900000))
all "no lease" 0 $none
ops "gang of two" "$(member train 1 0 2),$(member train 1 1 2)"
all "both" 2 $both
expiries "both have the new expiry"
later=$((later + 1000))
all "wrong count" 1 $both
all "wrong digest" 2 $train0
all "digest of no lease" 0 $none
expiries "a mismatch renews nothing"
ops "one of a gang of four" "$(member dyzury-7 12 3 4)"
# A scheduler that leaves out the gang that is not whole must not renew it.
all "the whole gang only" 2 $both
expiries "neither gang is renewed"
ops "the whole gang one by one" '{"op":"renew","job":"train","attempt":1,
	"index":0,"expires_ms":'$later'},{"op":"renew","job":"train",
	"attempt":1,"index":1,"expires_ms":'$later'}'
expiries "the gang that is not whole keeps its expiry"
all "all three" 3 $three
later=$((later + 1000))
curl -s -o /dev/null -d '{"lose_renewals":true}' "$agent/standin/faults"
all "lost answer" 3 $three
curl -s -o /dev/null -d '{}' "$agent/standin/faults"
expiries "it took effect"
all "sent again" 3 $three
expiries "which changes nothing"
cp "$tmp/ops" "$tmp/copy"
later=$((later + 1000))
all "a later renewal" 3 $three
call "late copy of the former" "$brief" -d "@$tmp/copy" "$agent/v1/commands"
expiries "it moves no expiry back"
ops "an ended lease" '{"op":"stop","job":"dyzury-7","attempt":12,"index":3}'
call "late copy after the end" "$brief" -d "@$tmp/copy" "$agent/v1/commands"
later=$((later + 1000))
all "with the ended lease" 3 $three
expiries "nothing is renewed for it"
all "without the ended lease" 2 $both
ops "release it" '{"op":"release","job":"dyzury-7","attempt":12,"index":3}'
ops "a reservation" '{@reserve r 1,"gang_size":1,"accelerators":1,"cores":1,
	"memory_gb":1,"expires_ms":@later}'
later=$((later + 1000))
all "a reservation does not count" 2 $both
call "and is not renewed" "[.leases[] | select(.state == \"reserved\") |
	.expires_ms < $later]" "$agent/v1/state"
ops "release it" '{@release r 1}'
all "digest too short" 2 568b25f0
all "digest in capitals" 2 568B25F0C2C1C9D9
all "negative count" -1 $both
all "no expiry" 2 $both null
curl -s -o /dev/null -d '{"no_renew_all":true}' "$agent/standin/faults"
all "older worker" 2 $both
curl -s -o /dev/null -d '{}' "$agent/standin/faults"
later=$((later + 1000))
t=$(now)
printf '{"epoch":5,"boot":"%s","ops":[{"op":"stop","job":"train","attempt":1,
	"index":1},{"op":"renew_all","count":1,"digest":"%s","expires_ms":%s},
	{@reserve s 1,"gang_size":1,"accelerators":1,"cores":1,"memory_gb":1,
	"expires_ms":@later},{@start s 1}]}' "$boot" $train0 $later |
	expand >"$tmp/ops"
call "operations before it count" '.results[1]' -d "@$tmp/ops" \
	"$agent/v1/commands"
expiries "a lease that starts after it is not renewed"

echo "# changed usage"
usage() { # NAME AFTER OPS
	printf '{"epoch":5,"boot":"%s",%s"ops":[%s]}' "$boot" "$2" "${3:-}" |
		expand >"$tmp/ops"
	call "$1" 'if .usage then [(.usage | map([.job, .index, .cores]) |
		sort), .usage_seq - '"$seq"'] else [.error, .place] end' \
		-d "@$tmp/ops" "$agent/v1/commands"
}
seq=0
seq=$(curl -s -d '{"epoch":5,"boot":"'"$boot"'","ops":[]}' \
	"$agent/v1/commands" | jq .usage_seq)
usage "all without a number" ''
usage "all after 0" '"usage_after":0,'
usage "none after the latest" '"usage_after":'"$seq",
usage "one changes" '"usage_after":'"$seq", '{@throttle s 1,"percent":50}'
usage "again, as if the answer was lost" '"usage_after":'"$seq",
usage "none after that" '"usage_after":'$((seq + 1)),
usage "negative number" '"usage_after":-1,'
usage "text" '"usage_after":"1",'
ops "end them" '{@stop s 1},{@release s 1},{@stop train 1},{@release train 1},
	{"op":"release","job":"train","attempt":1,"index":1}'

# A stopped process runs no timers: expiry must be checked on each command.
soon=$(($(now) + 3000))
ops "task before the stop" \
	'{@reserve z 1,@room,"expires_ms":'$soon'},{@start z 1}'
t=$(($(now) + 600000))
printf '{"epoch":5,"boot":"%s","ops":[{@renew z 1,"expires_ms":%s}]}' \
	"$boot" "$t" | expand >"$tmp/ops"
kill -STOP "$worker"
curl -s -o "$tmp/late" -d "@$tmp/ops" "$agent/v1/commands" &
late=$!
sleep 3.2
kill -CONT "$worker"
wait $late
echo "renewal that waited: $(jq -c '[.results, [.ended[].reason]]' "$tmp/late")"
ops "release it" '{@release z 1}'
ops "command with a higher epoch" '' 6
ops "the lower one is stale from then on" '' 5

echo "# backend server"
svc() { # NAME PATH CURL-ARGUMENT...
	name=$1
	path=$2
	shift 2
	call "$name" . "$@" "$service$path"
	tr -d '\r' <"$tmp/head" |
		grep -E '^(Tg-|Content-Length)' | sort | sed 's/^/  /'
}
svc "get" "/svc/responder/a/b?x=1" -D "$tmp/head" -H 'Tg-Workspace: courts'
svc "post" /svc/responder/a -D "$tmp/head" -H 'Tg-Workspace: courts' \
	-H 'Tg-Request-Id: q-1' -H 'Idempotency-Key: k-1' -d hello
svc "status" "/svc/responder/a?status=418" -D "$tmp/head"
svc "no service" /svc/ -D "$tmp/head"
for method in PUT DELETE PATCH OPTIONS; do
	call "$method" '.method' -X $method "$service/svc/responder/a"
done
echo "head: $(curl -sI "$service/svc/responder/a" | head -n 1 | tr -d '\r')"
echo "size: $(curl -s "$service/svc/responder/a?size=100000" | wc -c |
	tr -d ' ')"
call "probe" '[.slots, .in_use, .connections]' "$agent/v1/probe"

in_use() {
	curl -s "$agent/v1/probe" | jq -e ".in_use == $1"
}
curl -s -o /dev/null "$service/svc/responder/slow?work_ms=60000" &
slow1=$!
curl -s -o /dev/null "$service/svc/responder/slow?work_ms=60000" &
slow2=$!
pids="$pids $slow1 $slow2"
await "full slots" in_use 2
svc "slots full" /svc/responder/a -D "$tmp/head"
call "the log shows them" '[.requests[] | select(.path | test("slow")) |
	[.path, .end_ms]]' "$agent/standin/log"

# The worker's own limit of connections, with slots to spare.
start w-2 workerd --name w-2 --connections 2
curl -s -o /dev/null "http://$rpc/svc/s/slow?work_ms=60000" &
slow1=$!
curl -s -o /dev/null "http://$rpc/svc/s/slow?work_ms=60000" &
slow2=$!
pids="$pids $slow1 $slow2"
agent2=$http
used() {
	curl -s "http://$agent2/v1/probe" | jq -e ".connections_in_use == $1"
}
await "connections" used 2
call "connection limit" . -D "$tmp/head" "http://$rpc/svc/s/a"
grep -o 'Tg-Not-Run: 1' "$tmp/head"
await "the refused connection closed" used 2

echo "# faults of the backend server"
start w-3 workerd --name w-3
agent=http://$http
service=http://$rpc
fault() {
	curl -s -o /dev/null -d "$1" "$agent/standin/faults"
}
fault '{"close_after_read":true}'
call "closes after reading" . "$service/svc/s/closed"
fault '{"hang_service":true}'
call "hangs" . -m 1 "$service/svc/s/hung"
# libevent counts a delay from the start of the round of its loop, so a delay may
# be some milliseconds short.
fault '{"service_delay_ms":1500}'
call "delays" '.path' "$service/svc/s/delayed"
call "in its slot" '.requests[] | select(.path == "/delayed") |
	.end_ms - .start_ms >= 1400' "$agent/standin/log"
fault '{"answer_late_ms":1500}'
echo "answers late: $(curl -s -o /dev/null -w '%{time_total}' \
	"$service/svc/s/late" | jq '. >= 1.4')"
fault '{"cut":true}'
call "cut: backend server" . -m 1 "$service/svc/s/cut"
call "cut: agent" . -m 1 "$agent/v1/probe"
fault '{"draining":true}'
svc "draining" /svc/s/draining -D "$tmp/head"
call "draining agent" '.draining' "$agent/v1/probe"
fault '{}'
call "after the faults" '.path' "$service/svc/s/after"
call "what ran" '[.requests[] | [.path, .answer]]' "$agent/standin/log"
call "unknown fault" .error -d '{"rain":true}' "$agent/standin/faults"

echo "# drain"
start w-4 workerd --name w-4 --platform "$platform" --linger-ms 200
worker=$pid
agent=http://$http
service=http://$rpc
boot=$(curl -s "$agent/v1/state" | jq -r .boot)
ops "running task" \
	'{@reserve j 1,@room,"expires_ms":@later,"task":{"run_ms":600000}},{@start j 1}'
curl -s "$service/svc/s/long?work_ms=2000" >"$tmp/long" &
long=$!
await "request in progress" in_use 1
kill -TERM "$worker"
leaving() {
	curl -s "http://$platform/v1/instances" |
		jq -e '.instances[] | select(.name == "w-4").state == "leaving"'
}
await "leaving in the list" leaving
svc "new request" /svc/s/a -D "$tmp/head"
ops "new reservation" '{@reserve k 1,@room,"expires_ms":@later}'
call "not ready" .error "$agent/readyz"
wait $long
echo "request in progress: $(jq -c '[.path, .run]' "$tmp/long")"
ops "the task runs on until it is stopped" '{@stop j 1}'
wait "$worker"
echo "exit status $?"
gone() {
	curl -s "http://$platform/v1/instances" |
		jq -e '[.instances[] | select(.name == "w-4")] == []'
}
await "removal from the list" gone
echo "removed from the list"

echo "# restart"
start w-4 workerd --name w-4
call "another boot, no tasks" "[.boot != \"$boot\", .leases]" \
	"http://$http/v1/state"
