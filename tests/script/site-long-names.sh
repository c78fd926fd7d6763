#!/bin/sh
# Services, zones, racks, labels, workers and instances with names of over 63
# bytes.  Workers of such a service were taken for invalid, so that none of its
# jobs ran, and the evacuation of such a zone was ignored.
. "$TG_TESTS/site-lib.sh"

long() { # PREFIX: with it a name of 180 bytes and characters of two bytes
	printf '%s' "$1"
	printf '%0*d' $((100 - ${#1})) 0
	printf 'é%.0s' $(seq 40)
}

service=$(long s)
zone=$(long z)
node_prefix=$(printf 'i%0150d-' 0)
evacuate_ms=1500
config=$(echo "$config" | jq -c --arg s "$service" \
	'(.routes[] | .service) = $s | (.services[] | .name) = $s')
start_site --stores=2 --workers=4 --rack-workers=2 --service="$service" \
	--zone="$zone" --kind="$(long k)" --rack-prefix="$(long r)" \
	--worker-prefix="$(printf 'w%0150d-' 0)" --evacuate-ms=$evacuate_ms
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
owner=$(owner_of 1 2)
other=$((3 - owner))

echo "# jobs run on such workers"
submit 1 00000000000000a1 "ms=300" "$(steps 8)" && echo
await_state 2 00000000000000a1 completed
gang='[{"count":2,"cpu":1000,"gpu":8,"est-ms":300,"gang":true,"same-rack":true}]'
submit 2 00000000000000a2 "ms=1000 acc=8" "$gang" && echo
await "two runs" runs_now 2
echo "racks: $(seen '.runs[].worker' | sed 's/.*-\([1-4]\)"$/\1/' |
	awk '{ print int(($1 + 1) / 2) }' | sort -u | wc -l)"
await_state 1 00000000000000a2 completed

echo "# jobs name their labels and racks"
in_second_rack="[{\"count\":2,\"cpu\":1000,\"gpu\":4,\"est-ms\":300,
	\"requires\":\"$(long k)\",\"data-rack\":\"$(long r)2\",
	\"image\":\"$(long i)\"}]"
submit 1 00000000000000a5 "ms=1000 acc=4" "$in_second_rack" && echo
await "two runs" runs_now 2
seen '.runs[].worker' | sed 's/.*-\([1-4]\)"$/\1/' |
	awk '{ print "rack " int(($1 + 1) / 2) }' | sort -u
await_state 2 00000000000000a5 completed
submit 1 00000000000000a6 "ms=300" "[{\"count\":1,\"cpu\":1000,
	\"requires\":\"$(long k)2\"}]" && echo
sleep 1
echo "no worker has the label: $(state 1 00000000000000a6)"

echo "# their zone is evacuated"
control "row?table=op&key=evacuate/$zone" '{}'
evacuation_seen() {
	grep -q EV1717 "$tmp/flow-$owner.out"
}
await "the evacuation" evacuation_seen
sleep 2
submit 1 00000000000000a3 "ms=300" "$(steps 1)" && echo
sleep 1
echo "while it is evacuated: $(state 1 00000000000000a3)"
control "row?table=op&key=evacuate/$zone&remove=1"
await_state 1 00000000000000a3 completed

echo "# a new owner knows runs and workers by the same names"
submit 1 00000000000000a4 "ms=3000" "$(steps 8)" && echo
await "eight runs" runs_now 8
crash "flow-$owner"
await "the other owner" owner_of $other
await_state 1 00000000000000a4 completed
echo "runs in all: $(seen .starts)"
judge
