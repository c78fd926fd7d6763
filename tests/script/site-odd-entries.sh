#!/bin/sh
# Another writer leaves odd rows among those of the workers and jobs.  The
# daemons must go on, and still follow the entries that are written later.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=20
start_instance 1
start_instance 2

odd() { # NAME TEXT
	control "row?table=servers&key=odd-$1" "$2"
	control "row?table=jobs&key=odd-$1" "$2"
	control "row?table=members&key=odd-$1" "$2"
}
entry() { # ADDRESS CAPACITY
	echo "{\"service\":\"svc\",\"address\":\"$1\",\"zone\":\"a\",\"state\":\"ready\",
		\"born\":1700000000000,\"labels\":[\"kind\",\"r1\"],\"capacity\":$2}"
}
nested() { # COUNT
	head -c "$1" /dev/zero | tr '\0' '['
}
bad_rows() {
	grep -c "EV1707.*table=servers key=odd-" "$tmp/flow-$owner.out"
}
all_bad() { [ "$(bad_rows)" -eq 11 ]; }

await "an owner" owner_of 1 2
owner=$(owner_of 1 2)
good='{"cpu":128000,"mem-mb":262144,"gpu":8}'
odd nested "$(nested 40000)"
odd integer "$(entry 127.0.0.1:80 '{"cpu":12345678901234567890,"mem-mb":1,"gpu":1}')"
odd real "$(entry 127.0.0.1:80 '{"cpu":1e300,"mem-mb":1,"gpu":1}')"
odd edge "$(entry 127.0.0.1:80 '{"cpu":9223372036854775808.0,"mem-mb":1,"gpu":1}')"
odd huge "$(entry 127.0.0.1:80 '{"cpu":9223372036854775807,"mem-mb":9223372036854775807,"gpu":9223372036854775807}')"
odd negative "$(entry 127.0.0.1:80 '{"cpu":1,"mem-mb":1,"gpu":-1}')"
odd port "$(entry 127.0.0.1:65536 "$good")"
odd port-0 "$(entry 127.0.0.1:0 "$good")"
odd port-minus "$(entry 127.0.0.1:-1 "$good")"
odd bytes "$(printf '{"service":"\377"}')"
odd empty ""
await "a line for each odd entry" all_bad
echo "odd entries ignored: $(bad_rows)"

echo "# a worker that changes later is still followed"
control "worker?id=w3&mode=drain"
drained() {
	grep -q 'EV5530.*worker=w3 .*draining=1' "$tmp/flow-$owner.out"
}
await "the change" drained

echo "# a new owner reads all of them at once"
crash "flow-$owner"
other=$(echo 12 | tr -d "$owner")
await "another owner" owner_of "$other"
echo "job: $(submit "$other" 00000000000000c1 "ms=300" "$(steps 40)")"
await_state "$other" 00000000000000c1 completed
seen '{starts, lapsed}'

echo "# what is known of a job outlives a row of it that can't be read"
for part in 0 1 2 3; do
	control "row?table=jobs&part=$part&key=00000000000000c1" '{}'
done
restart_flow "$other"
await "an owner" owner_of "$other"
echo "job: $(submit "$other" 00000000000000c2 "ms=300" "$(steps 1)")"
await_state "$other" 00000000000000c2 completed
state "$other" 00000000000000c1
judge
grep -hc "EV1000" "$tmp/queue-1.out" "$tmp/queue-2.out" "$tmp/flow-$other.out" |
	sort -u
