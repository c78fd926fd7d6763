#!/bin/sh
# Many requests while faults come and go; afterwards each outcome is compared
# with what the workers ran.  Guards against an outcome that is not true:
# "answered" means one run, "not-run" none, and nothing runs twice.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$(echo "$document" | jq '.services[].timeout_ms = 1000 |
	.workspaces[0].max_in_flight = 0 | .workspaces[0].rate_per_s = 0')"
for w in w-1 w-2 w-3 w-4; do
	start_worker $w --slots=2
done
# one N: POST number N without key, with a caller's key, or with an issued
# key that goes to two instances; prints N and the outcomes
cat >"$tmp/one.sh" <<'END'
n=$1 dir=$2 round=$3
shift 3
eval "e1=\$$((n % 3 + 1)) e2=\$$(((n + 1) % 3 + 1))"
post() {
	curl -s -m 20 -o "$dir/$n.body" -D - -H 'Tg-Workspace: courts' \
		-H 'Tg-Deadline-Ms: 5000' "$@" -d x |
		tr -d '\r' | sed -n 's/^Tg-Outcome: //p'
}
path="v1/svc/responder/$round-$n-?work_ms=$((n % 7 * 10))"
case $((n % 3)) in
0) echo "$n none $(post "http://$e1/$path")" ;;
1) echo "$n key $(post -H "Idempotency-Key: $round-$n" "http://$e1/$path")" \
	"$(post -H "Idempotency-Key: $round-$n" "http://$e2/$path")" ;;
2) k=$(curl -s -m 20 -X POST "http://$e1/v1/keys" |
	sed 's/.*"key":"\([^"]*\)".*/\1/')
	echo "$n issued $(post -H "Idempotency-Key: $k" "http://$e2/$path")" \
		"$(post -H "Idempotency-Key: $k" "http://$e1/$path")" ;;
esac
END
# faults_while PID: faults come and go until it ends
faults_while() {
	while kill -0 $1 2>/dev/null; do
		fault w-1 '{"close_after_read":true}'
		fault platform '{"lose_next":2,"only":"table"}'
		sleep 0.2
		fault w-2 '{"draining":true}'
		fault w-1 '{}'
		sleep 0.2
		fault w-3 '{"answer_late_ms":1500}'
		fault w-2 '{}'
		fault platform '{"outage":"refuse"}'
		sleep 0.2
		fault w-3 '{"hang_service":true}'
		fault platform '{}'
		sleep 0.2
		fault w-3 '{}'
	done
}

# compare ROUND: outcomes against runs
compare() {
	round=$1
	for w in w-1 w-2 w-3 w-4; do
		curl -s "http://$(http_of $w)/standin/log" |
			jq -r '.requests[].path' | sed -n "s/.*$round-\([0-9]*\)-.*/\1/p"
	done | sort | uniq -c | awk '{ print $2, $1 }' >"$tmp/runs"
	wc -l <"$tmp/outcomes"
	awk 'NR == FNR { runs[$1] = $2; next }
		{
			n = runs[$1] + 0
			if (n > 1)
				bad = bad "\nran " n " times: " $0
			for (i = 3; i <= NF; i++) {
				seen[$i]++
				if ($i == "answered" && n != 1)
					bad = bad "\nanswered, ran " n ": " $0
			}
			# The last attempt speaks for all with the key.
			if ($NF == "not-run" && n)
				bad = bad "\nnot-run, ran " n ": " $0
			if (NF < 3 || ($2 != "none" && NF < 4))
				bad = bad "\nno outcome: " $0
		}
		END {
			print "untrue outcomes: " (bad ? "some" : "none")
			print bad > "/dev/stderr"
			print (seen["answered"] ? "some" : "none") " answered"
			print seen["answered"], seen["not-run"], seen["unknown"] \
				> "/dev/stderr"
		}' "$tmp/runs" "$tmp/outcomes"
}

# round NAME FLAG...: three entry daemons, the load, the comparison
round() {
	round=$1
	shift
	for e in 1 2 3; do
		start_entry "$round-$e" "$@"
	done
	for e in 1 2 3; do
		await "peers" sees_peers "$round-$e" 2
		await "backend server" knows_worker "$round-$e" w-4 up
	done
	seq 1 360 | xargs -P 24 -I {} sh "$tmp/one.sh" {} "$tmp" "$round" \
		"$(http_of "$round-1")" "$(http_of "$round-2")" \
		"$(http_of "$round-3")" >"$tmp/outcomes" &
	load=$!
	faults_while $load
	wait $load
	compare "$round"
	for e in 1 2 3; do
		curl -sf -o /dev/null -X DELETE \
			"http://$platform_http/standin/instances/$round-$e"
		stop "$round-$e"
	done
}

round retry --unsafe-retry-all
round unclaimed --unsafe-no-claims
round anywhere --unsafe-run-anywhere
round safe
