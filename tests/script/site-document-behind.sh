#!/bin/sh
# An instance that the store didn't answer went on to use a document for more than
# 3 s after a newer one was acknowledged.
. "$(dirname "$0")/../site-lib.sh"

# doc GENERATION PREFIX: the document with one more queue
doc() {
	echo "$config" | jq -c --argjson g "$1" --arg p "$2" '.version = $g |
		.routes += [.routes[0] | .name = $p | .["path-prefix"] = $p]'
}

# show N PREFIX: status of a call for the state of an unknown job, and for a count
show() {
	echo "$2: $(front "$1" "${2}0000000000000000") $(front "$1" "$2")"
}

start_site --stores=2
start_instance 1
await "an owner" owner_of 1
start_instance 2
control config "$(doc 9 /old/)"
await "generation 9 on 1" answers_at 1 /old/ 410
await "generation 9 on 2" answers_at 2 /old/ 410

echo "# the store doesn't answer instance 2 any more; /old/ is replaced"
control "store?door=1&mode=silent"
# The call that waits for a change is still answered.
sleep 1.5
sleep 3.2
echo "the owner confirms the document: $(front 2 /never/0000000000000000)" \
	"$(front 2 /old/) $(submit 2 00000000000000a1 ms=1 "$(steps 1)")"
control config "$(doc 10 /new/)"
await "generation 10 on 1" answers_at 1 /new/ 410
sleep 3.2
show 2 /old/
show 2 /new/
show 2 /n/
echo "ready: $(front 2 /readyz)"

echo "# it answers again"
control "store?door=1&mode=ok"
await "generation 10 on 2" answers_at 2 /new/ 410
show 2 /old/
show 2 /new/

echo "# paused while /new/ is replaced: a request that was sent meanwhile"
signal_queue() { # SIGNAL
	is_own "$(pid_of queue-2)" && kill "-$1" "$(pid_of queue-2)"
}
signal_queue STOP
control config "$(doc 11 /last/)"
sleep 3.2
front 2 /new/0000000000000000 >"$tmp/status" &
sleep 0.3
signal_queue CONT
wait $!
echo "/new/: $(cat "$tmp/status")"
show 2 /last/

echo "# the store answers nobody: states are served, what the document decides is not"
control "store?mode=silent"
sleep 4.7
echo "/never/: $(front 1 /never/0000000000000000)"
echo "state of a1: $(front 1 /n/00000000000000a1)"
echo "count of /last/: $(front 1 /last/)"

echo "# a state is asked for meanwhile, and found when the document is over"
control config "$(doc 12 /after/)"
front 1 /last/0000000000000000 >"$tmp/status" &
sleep 0.3
control "store?mode=ok"
wait $!
echo "/last/: $(cat "$tmp/status")"
await "generation 12 on 1" answers_at 1 /after/ 410
echo "/last/: $(front 1 /last/0000000000000000)"
