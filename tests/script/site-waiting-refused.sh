#!/bin/sh
# A worker refuses each start.  Guards against counts of waiting jobs, and states,
# that take a start for begun when it is decided on, and against the next owner
# that takes it for begun when it is recorded (review/14).
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=2
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
submit 1 00000000000000a1 "ms=100000 acc=8" '[{"count":1,"cpu":8000,
	"mem-mb":1000,"gpu":8,"est-ms":100000}]' && echo
await "a run" runs_now 1
busy=$(seen '.runs[0].worker' | tr -d '"')
free=w1
[ "$busy" != w1 ] || free=w2
control "worker?id=$free&mode=unhealthy"

waiting() { # N
	front "$1" "/n/" >/dev/null
	jq -r .waiting "$tmp/body"
}

# tell: what both instances say of jobs that wait
tell() {
	for n in 1 2; do
		echo "instance $n: $(waiting "$n") wait, $(state "$n" \
			00000000000000b1) and $(state "$n" 00000000000000c1)"
	done
}

echo "# one task each, and a gang"
for k in 1 2 3; do
	submit 1 00000000000000b$k "ms=100000" "$(steps 1)" && echo
done
submit 2 00000000000000c1 "ms=100000" "$(steps 2 ',"gang":true')" && echo
sleep 2
tell
echo "# the next owner, which reads what was recorded"
first=$(owner_of 1 2)
restart_flow "$first"
await "an owner" owner_of 1 2
sleep 2
tell
echo "# the worker is well again"
control "worker?id=$free&mode=ok"
await "all runs" runs_now 6
sleep 1
tell
judge
