#!/bin/sh
# An instance learns late that its claim of the ownership succeeded.  Meanwhile
# another one claims it and is told by the first one that it is not the owner.
# Guards against a term that begins after that: the later owner counts leases as
# expired that the first one then renews.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=3
for n in 2 1 3; do
	start_instance $n
done

start_flow() { # N
	start "flow-$1" tgflowd --settings="$tmp/i$1.conf" \
		--metrics-addr="$net.$1:0"
}

holder() { # instance in the row of the owner
	curl -s "http://$(echo "$site_rpc" | cut -d, -f2)/rows-get?table=owner&part=owner" |
		jq -r '.rows[0].value' | base64 -d | jq -r .holder
}

holds() { # N: without the pauses of await
	for i in $(seq 400); do
		[ "$(holder)" = "i$1" ] && return
		sleep 0.01
	done
	echo "i$1 does not hold the row"
	exit 1
}

# claims N: time and fence of each term that it has begun
claims() {
	sed -n 's/^\([^ ]*\) .* EV5500 .*fence=\([0-9]*\).*/\1 \2/p' "$tmp/flow-$1.out"
}

# round: prints how the claim of 1 ended, whose answer comes after that of 3
round() {
	control "store?door=0&mode=lose"
	kill -STOP "$flow_3_pid"
	crash flow-2
	holds 1
	# 1 reads the row 1 s after its claim, to see whether that succeeded.
	control "store?door=0&mode=late"
	sleep 0.5
	kill -CONT "$flow_3_pid"
	await "the end of the claims" owns 3
	# The answer to that read comes within 0.8 s.
	sleep 1
	claims 3 | tail -n 1 >"$tmp/last"
	read -r later fence <"$tmp/last"
	first=$(claims 1 | awk -v f=$((fence - 1)) '$2 == f { print $1 }')
	if [ -z "$first" ]; then
		echo "no term"
	elif [ "$(printf '%s\n' "$first" "$later" | sort | head -n 1)" = "$later" ]; then
		echo "term after a later owner's"
	else
		echo "term before"
	fi
}

# On a busy machine the claim of 3 may come too late for that.
for i in 1 2 3 4 5; do
	await "an owner" owns 2
	result=$(round)
	[ "$result" = "term before" ] || break
	control "store?door=0&mode=ok"
	crash flow-1
	crash flow-3
	start_flow 2
	await "an owner" owns 2
	start_flow 1
	start_flow 3
	sleep 1
done
echo "$result"
judge
