#!/bin/sh
# Measures what the entry daemon adds to requests, its processor time, memory
# and use of the table: "key value unit" lines.  Each round sends the same load
# through the entry daemon and straight to the backend server.
# ROUNDS (default 4), CALLS (default 3000) and PARTS limit it.
. "$(dirname "$0")/lib.sh"
rounds=${ROUNDS:-4}
calls=${CALLS:-3000}
# Far below what one core carries, so that latencies are not those of a queue.
rate=${RATE:-800}
document='{"version":1,"weights":{"completion":70,"fragmentation":30},
"workspaces":[{"name":"courts"}],
"services":[{"name":"responder","workspaces":["courts"],
 "azs":["a","b","c","d","e","f","g","h","i","j","k"],
 "timeout_ms":5000,"queue":256,"idempotent_methods":["GET","HEAD"]}]}'

# --- memory ---

memory_at() { # WHEN
	for d in e-m s-m s-m2 c-m; do
		case $d in
		e-m) role=entry ;;
		s-m) role=sched_active ;;
		s-m2) role=sched_standby ;;
		*) role=console ;;
		esac
		line "rss_${role}_$1" "$(rss $d)" KiB
	done
}

# 10,000 workers in 11 AZs; nothing listens at their addresses.
list_many() {
	awk 'BEGIN { for (i = 0; i < 10000; i++)
		printf "w-%d %c 127.0.0.1:1 127.0.0.1:1\n", i, 97 + i % 11 }' |
		list_workers
}


measure_memory() {
	start platform platformd --log-level=warn
	put_document 1 "$document"
	start_entry e-m --log-level=error
	start_sched s-m a
	start_console c-m a
	await "active scheduler" sched_active s-m
	start_sched s-m2 a
	await "a peer" sees_peers e-m 3
	sleep 3
	memory_at rest
	list_many
	# One other AZ each 2 s at the most; two turns through all of them.
	sleep 45
	memory_at 10000_workers
	for d in e-m s-m2 s-m c-m platform; do
		crash $d
	done
}

# --- requests ---

# one_load ROUND KIND WAY FLAG...: a load at a rate for the latencies and one
# in a closed loop for the processor time
one_load() {
	round=$1 kind=$2 way=$3
	shift 3
	"$TG_BIN/tgload" "$@" --rate="$rate" --count="$rate" --concurrency=64 \
		--seed=$((round * 10 + 1)) --max-ms=5000 >"$tmp/load"
	awk -v p="$kind $round $way" '{ print p, $1, $2 }' "$tmp/load" \
		>>"$tmp/latencies"
	w0=$(stat writes) r0=$(stat reads)
	sample e-1 >"$tmp/before"
	"$TG_BIN/tgload" "$@" --count="$calls" --concurrency=16 \
		--seed=$((round * 10 + 2)) --max-ms=8000 >"$tmp/load"
	# Outcomes are written after the answer.
	[ "$way" = direct ] || sleep 0.3
	sample e-1 >"$tmp/after"
	awk -v p="$kind $round $way" '{ print p, $1, $2 }' "$tmp/load" \
		>>"$tmp/loops"
	paste -d' ' "$tmp/before" "$tmp/after" |
		awk -v p="$kind $round $way" -v w=$(($(stat writes) - w0)) \
			-v r=$(($(stat reads) - r0)) '{
			print p, "cpu_us", $14 - $2
			print p, "table_reads", $20 - $8
			print p, "table_writes", $21 - $9
			print p, "table_txns", $22 - $10
			print p, "platform_writes", w
			print p, "platform_reads", r
		}' >>"$tmp/loops"
}

# both ROUND KIND DIRECT-KEY FLAG...
both() {
	b_round=$1 b_kind=$2 b_key=$3
	shift 3
	if [ $((b_round % 2)) = 0 ]; then
		one_load "$b_round" "$b_kind" direct --mode=direct \
			--target="$w_1_rpc" --key="$b_key" "$@"
	fi
	one_load "$b_round" "$b_kind" entry --mode=requests \
		--target="$e_1_http" --key="$b_kind_key" "$@"
	if [ $((b_round % 2)) = 1 ]; then
		one_load "$b_round" "$b_kind" direct --mode=direct \
			--target="$w_1_rpc" --key="$b_key" "$@"
	fi
}

start_backend() {
	start platform platformd --log-level=warn
	put_document 1 "$document"
	start_worker w-1 --slots=64 --connections=512
	start_entry e-1 --log-level=warn
	await "worker" knows_worker e-1 w-1 up
}

measure_requests() {
	for round_no in $(seq "$rounds"); do
		b_kind_key=none
		both "$round_no" get none --method=GET
		both "$round_no" post none --method=POST --body-bytes=200
		b_kind_key=caller
		both "$round_no" post_callers_key caller --method=POST \
			--body-bytes=200
		b_kind_key=issued
		both "$round_no" post_issued_key none --method=POST \
			--body-bytes=200
	done
}

# per_round FILE EXPRESSION-NAME KIND: one value per round
per_round() {
	awk -v what="$2" -v kind="$3" '
	$1 == kind { v[$2, $3, $4] = $5; if ($2 > n) n = $2 }
	function e(r, k) { return v[r, "entry", k] }
	function d(r, k) { return v[r, "direct", k] }
	function div(a, b) { return b ? a / b : 0 }
	END {
		for (r = 1; r <= n; r++) {
			if (what == "p50_ratio")
				print div(e(r, "p50_us"), d(r, "p50_us"))
			else if (what == "p50_added")
				print e(r, "p50_us") - d(r, "p50_us")
			else if (what == "p99_added")
				print e(r, "p99_us") - d(r, "p99_us")
			else if (what == "rps")
				print e(r, "rps")
			else if (what == "direct_rps")
				print d(r, "rps")
			else if (what == "rps_per_core")
				print div(e(r, "answered") * 1e6, e(r, "cpu_us"))
			else if (what == "not_answered")
				print e(r, "sent") - e(r, "answered")
			else
				print div(e(r, what), e(r, "answered"))
		}
	}' "$1"
}

report_requests() {
	for kind in get post post_callers_key post_issued_key; do
		k=entry_$kind
		[ $kind = get ] && k=entry
		l=$tmp/latencies c=$tmp/loops
		per_round "$l" p50_ratio $kind | summary ${k}_p50_ratio ratio
		per_round "$l" p50_added $kind | summary ${k}_p50_added_us us
		per_round "$l" p99_added $kind | summary ${k}_p99_added_us us
		per_round "$c" rps_per_core $kind |
			summary ${k}_rps_per_core requests/s/core
		per_round "$c" rps $kind | summary ${k}_rps requests/s
		per_round "$c" direct_rps $kind | median ${k}_direct_rps requests/s
		per_round "$c" not_answered $kind |
			median ${k}_not_answered requests
		per_round "$c" table_reads $kind |
			median ${k}_table_reads_per_request reads
		per_round "$c" table_writes $kind |
			median ${k}_table_writes_per_request writes
		# What would be sent if each transaction went alone.
		per_round "$c" table_txns $kind |
			median ${k}_table_writes_ungrouped_per_request writes
		per_round "$c" platform_writes $kind |
			median ${k}_platform_writes_per_request writes
		per_round "$c" platform_reads $kind |
			median ${k}_platform_reads_per_request reads
	done
}

# --- jobs ---

jobs_done() { # COUNT
	[ "$(curl -s "http://$e_1_http/v1/jobs?workspace=courts" |
		jq '[.jobs[] | select(.state == "done")] | length')" -ge "$1" ]
}

measure_jobs() {
	n=100
	for w in 2 3 4; do
		start_worker w-$w
	done
	start_sched s-1 a
	await "active scheduler" sched_active s-1
	await "scheduler" curl -sf "http://$s_1_http/readyz"
	sleep 2
	sample s-1 >"$tmp/s0"
	sleep 10
	sample s-1 >"$tmp/s1"
	w0=$(stat writes)
	awk -v n=$n -v url="http://$e_1_http/v1/jobs" 'BEGIN {
		for (i = 0; i < n; i++) {
			if (i) print "next"
			print "url = \"" url "\"\nsilent\noutput = \"/dev/null\""
			print "header = \"Tg-Workspace: courts\""
			printf "data = \"{\\\"workspace\\\":\\\"courts\\\"," \
				"\\\"job\\\":\\\"j-%d\\\",\\\"class\\\":" \
				"\\\"lent\\\",\\\"az\\\":\\\"a\\\"," \
				"\\\"tasks\\\":1,\\\"accelerators_per_task\\\":1," \
				"\\\"cores_per_task\\\":1," \
				"\\\"memory_gb_per_task\\\":1," \
				"\\\"declared_ms\\\":1000,\\\"task\\\":" \
				"{\\\"run_ms\\\":1000}}\"\n", i
		}
	}' | curl -s -K - >/dev/null
	await "end of jobs" jobs_done $n
	sleep 1
	sample s-1 >"$tmp/s2"
	w1=$(stat writes)
	paste -d' ' "$tmp/s0" "$tmp/s1" "$tmp/s2" |
		awk -v n=$n -v w=$((w1 - w0)) '{
		at_rest = ($21 - $9) / ($13 - $1)
		reads_at_rest = ($20 - $8) / ($13 - $1)
		s = $25 - $13
		printf "sched_table_writes_at_rest %.3g writes/s\n", at_rest
		printf "sched_table_reads_at_rest %.3g reads/s\n", reads_at_rest
		printf "table_writes_per_job %.3g writes\n",
			($33 - $21 - s * at_rest) / n
		printf "table_writes_ungrouped_per_job %.3g writes\n",
			($34 - $22 - s * at_rest) / n
		printf "table_reads_per_job %.3g reads\n",
			($32 - $20 - s * reads_at_rest) / n
		printf "platform_writes_per_job %.3g writes\n",
			(w - s * at_rest) / n
	}'
}

parts=${PARTS:-memory requests jobs}
about
case $parts in *memory*) measure_memory ;; esac
start_backend
case $parts in *requests*) measure_requests && report_requests ;; esac
case $parts in *jobs*) measure_jobs ;; esac
line elapsed $(($(date +%s) - begin_s)) s
