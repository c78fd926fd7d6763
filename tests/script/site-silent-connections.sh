#!/bin/sh
# Open connections to the store go silent for good, while new ones work.  Guards
# against instances that wait on them: a change of the document in force late,
# jobs refused or started twice (day "unanswered").
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=4
for n in 1 2; do
	start "proxy-$n" proxyd --target="$(echo "$site_rpc" | cut -d, -f$n)"
done
site_rpc="$(rpc_of proxy-1),$(rpc_of proxy-2)"
start_instance 1
start_instance 2
await "an owner" owner_of 1 2

silence() { # N...
	for n in "$@"; do
		curl -sf -o /dev/null -X POST \
			"http://$(http_of "proxy-$n")/proxy?mode=silent-for-good"
	done
}

# in_force_in_time GENERATION PREFIX: whether a new queue is known within 3 s
in_force_in_time() {
	control config "$(echo "$config" | jq -c --argjson g "$1" --arg p "$2" \
		'.version = $g | .routes += [.routes[0] | .name = $p |
		.["path-prefix"] = $p]')"
	sleep 2.9
	echo "$2: $(front 1 "${2}0000000000000000")" \
		"$(front 2 "${2}0000000000000000")"
}

round=0
for which in 1 2 "1 2"; do
	echo "# those of $which, while tasks run and others wait"
	round=$((round + 1))
	submit 1 00000000000000a$round "ms=3000 acc=8" "$(steps 6 \
		',"cpu":52000,"gpu":8')" && echo
	await "four runs" runs_now 4
	# shellcheck disable=SC2086
	silence $which
	in_force_in_time $((10 + round)) "/new$round/"
	submit 2 00000000000000b$round "ms=100" "$(steps 1)" && echo
	await_state 1 00000000000000a$round completed
	await_state 2 00000000000000b$round completed
done
judge
