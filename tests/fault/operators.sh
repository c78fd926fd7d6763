#!/bin/sh
# Two operators save from the same generation while the answer of the first
# write is lost.  Guards against a save that is reported wrongly, against one
# that overwrites the other, and against a daemon that goes back.
. "$(dirname "$0")/../lib.sh"
key=operator-key-0123456789
echo "$key" >"$tmp/key"
auth="Authorization: Bearer $key"
start_console() { # NAME FLAG...
	c=$1
	shift
	start "$c" tgconsoled --instance="$c" --az=a --drain-grace-ms=0 \
		--platform="$platform_http" --operator-key-file="$tmp/key" "$@"
	await "readiness of $c" curl -sf -H "$auth" "http://$(http_of "$c")/v1/document"
}
rate() { # RATE of courts, IN-FLIGHT of small
	echo "$document" | jq -c --argjson r "$1" --argjson f "$2" \
		'.workspaces[0].rate_per_s = $r | .workspaces[1].max_in_flight = $f'
}
save_later() { # LABEL CONSOLE OPERATOR GENERATION TEXT
	later "$1" '{generation, author, differences, error}' -X PUT \
		-H "$auth" -H "X-Tg-Operator: $3" -d "$5" \
		"http://$(http_of "$2")/v1/document?generation=$4"
}
generation() {
	curl -s "http://$(http_of "$1")/v1/document" | jq .generation
}
generation_is() {
	[ "$(generation "$1")" = "$2" ]
}
generations() { # NAME: those that came into force, in order
	sed -n 's/.*EV1600 .*generation=\([0-9]*\).*/\1/p' "$tmp/$1.err" | xargs
}
rising() {
	generations "$1" | tr ' ' '\n' | sort -n -u | xargs
}
lost() {
	curl -s "http://$platform_http/standin/stats" | jq .lost
}
one_lost() {
	[ "$(lost)" -ge 1 ]
}
daemons="e-1 e-2 e-3"

written() {
	curl -s "http://$platform_http/standin/history?prefix=config/current" |
		jq -c '[.. | objects | select(has("version")) | .value.generation]'
}
end_all() { # NAME...
	for x in "$@"; do
		crash "$x"
	done
}

echo "# protection off: both are told that they saved generation 2"
start platform platformd
put_document 1 "$document"
start_entry u-e
start_console u-1 --unsafe-save-unchecked
start_console u-2 --unsafe-save-unchecked
save_later first u-1 ada 1 "$(rate 500 2)"
join first
await "generation 2 at u-e" generation_is u-e 2
save_later second u-2 ben 1 "$(rate 700 3)"
join second
in_force=$(curl -s "http://$u_e_http/v1/document" | jq -cS .document)
[ "$in_force" = "$(curl -s -H "$auth" "http://$u_1_http/v1/document" |
	jq -cS .document)" ] || echo "u-e: not as the console shows"
written
end_all u-1 u-2 u-e platform

echo "# protection off: the answer is lost, and the save is reported as not done"
start platform platformd
put_document 1 "$document"
start_entry u-e
start_console u-1 --unsafe-assume-not-written
fault platform '{"lose_next":1,"paths":"/v1/table/txn"}'
save_later unsaved u-1 ada 1 "$(rate 500 2)"
join unsaved
await "generation 2 at u-e" generation_is u-e 2
written
end_all u-1 u-e platform

start platform platformd
put_document 1 "$document"
for e in $daemons; do
	start_entry $e
done
start_console c-1
start_console c-2
for e in $daemons; do
	await "peers of $e" sees_peers $e 2
done

echo "# from generation 1, the answer of the first write is lost once"
fault platform '{"lose_next":1,"paths":"/v1/table/txn"}'
save_later ada c-1 ada 1 "$(rate 500 2)"
await "the lost answer" one_lost
save_later ben c-2 ben 1 "$(rate 700 3)"
join ada ben
for e in $daemons; do
	await "generation 2 at $e" generation_is $e 2
done
curl -s "http://$e_1_http/v1/document" | jq -c '.document.workspaces |
	map([.rate_per_s, .max_in_flight])'

echo "# ben saves again from what he was shown"
save_later ben-again c-2 ben 2 "$(rate 500 3)"
join ben-again
for e in $daemons; do
	await "generation 3 at $e" generation_is $e 3
done

echo "# from generation 3, both at the same time and both answers are lost"
fault platform '{"lose_next":2,"paths":"/v1/table/txn"}'
save_later cem c-1 cem 3 "$(rate 510 3)"
save_later dan c-2 dan 3 "$(rate 520 3)"
for l in cem dan; do
	eval "wait \$later_$l"
done
cut -d' ' -f2 "$tmp/cem.line" "$tmp/dan.line" | sort
cat "$tmp/cem.line" "$tmp/dan.line" | grep ' 409 ' |
	grep -c '"ours":5[12]0,"place":"/workspaces/0/rate_per_s","theirs":5[12]0'
for e in $daemons; do
	await "generation 4 at $e" generation_is $e 4
done

echo "# what was written and what came into force"
written
for e in $daemons; do
	[ "$(generations $e)" = "$(rising $e)" ] && echo "$e: never back"
	[ "$(curl -s "http://$(http_of $e)/v1/document" | jq -cS .document)" = \
		"$(curl -s -H "$auth" "http://$c_1_http/v1/document" |
			jq -cS .document)" ] && echo "$e: as the console shows"
done
