#!/bin/sh
# A soak of the document: document.sh --seed N [--steps N] [--instances N]
#	[--keep DIRECTORY] [--bound-ms N]
# Instances run on a stand-in of the platform, each with a proxy before the store;
# all but the first two have links of 10 Mbit/s.  Each change of the document
# replaces the queue /pN/ by the next one, and some change 1,400 other queues.
# Steps drawn from the seed disturb processes, links and store meanwhile.  Callers
# ask each instance for the queues before and after the last change.  No answer
# may be by a document that was replaced --bound-ms before the request was sent,
# and no process may go back to an older one.
. "$(dirname "$0")/../site-lib.sh"
seed=1 steps=30 instances=3 keep= bound_ms=3000
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--steps) steps=$2 ;;
	--instances) instances=$2 ;;
	--keep) keep=$2 ;;
	--bound-ms) bound_ms=$2 ;;
	*)
		echo "document.sh: unknown flag $1" >&2
		exit 2
		;;
	esac
	shift 2
done
# A process that is paused may handle what it read before.
back_ms=250

now_ms() { date +%s%3N; }

say() {
	echo "$(date +%H:%M:%S.%3N) $*" >>"$tmp/steps.log"
}

# Numbers of a step: WHAT INSTANCE PAUSE_MS EXTRA
draw_steps() {
	awk -v seed="$seed" -v steps="$steps" -v instances="$instances" '
	function rnd(n) { return int(rand() * n) }
	BEGIN {
		srand(seed)
		print "size", 1, 0, rnd(1000)
		n = split("change change change change burst kill-queue " \
			"term-queue kill-flow pause door door link link link " \
			"forget all", what, " ")
		for (i = 0; i < steps; i++)
			print what[1 + rnd(n)], 1 + rnd(instances), rnd(1500),
				rnd(1000)
	}'
}

pick() { # NUMBER WORD...: the word that the number chooses
	n=$1
	shift
	eval "echo \${$((n % $# + 1))}"
}

# make_documents COUNT: with VERSION and PROBE to be replaced
make_documents() {
	for more in 0 1400; do
		large_config 0 $(($1 + more)) | jq -c '.version = "VERSION" |
			.routes[] |= . + {kind: "unsafe", "timeout-ms": 3000} |
			.routes += [.routes[0] | .name = "PROBE" |
				.["path-prefix"] = "/PROBE/"]' |
			sed 's/"VERSION"/VERSION/' >"$tmp/document.$more"
	done
}

# What the callers ask now.
set_targets() {
	for n in $(seq "$instances"); do
		for q in $((probe - 1)) $probe; do
			echo "$net.$n:$(cat "$tmp/port.$n") /p$q/0000000000000000"
			echo "$net.$n:$(cat "$tmp/port.$n") /p$q/"
		done
	done >"$tmp/targets"
	curl -sf -o /dev/null --data-binary @"$tmp/targets" \
		"http://$callers_http/callers/targets"
}

change() { # EXTRA
	probe=$((probe + 1))
	sed "s/VERSION/$((100 + probe))/; s/PROBE/p$probe/g" \
		"$tmp/document.$(pick "$1" 0 0 1400)" >"$tmp/document"
	sent_ms=$(now_ms)
	curl -sf -o /dev/null -X POST --data-binary @"$tmp/document" \
		"http://$site_http/standin/config"
	echo "$probe $sent_ms $(now_ms)" >>"$tmp/changes"
	set_targets
}

instance_queue() { # N
	start "queue-$1" tgqueued --settings="$tmp/i$1.conf"
	http_of "queue-$1" | sed 's/.*://' >"$tmp/port.$1"
}

instance_flow() { # N
	start "flow-$1" tgflowd --settings="$tmp/i$1.conf" \
		--metrics-addr="$net.$1:0" --lease-ms=4000
}

signal() { # SIGNAL NAME
	is_own "$(pid_of "$2")" && kill "-$1" "$(pid_of "$2")"
}

end_process() { # SIGNAL ROLE INSTANCE
	signal "$1" "$2-$3"
	signal CONT "$2-$3"
	[ "$paused" = "$2-$3" ] && paused=
	wait "$(pid_of "$2-$3")" 2>/dev/null
	forget "$(pid_of "$2-$3")"
	cat "$tmp/$2-$3.out" >>"$tmp/$2-$3.log"
	"instance_$2" "$3"
	set_targets
}

go_on() {
	[ -n "$paused" ] && signal CONT "$paused"
	paused=
}

link() { # N MODE
	curl -sf -o /dev/null -X POST \
		"http://$(http_of "proxy-$1")/proxy?mode=$2"
}

# door N MODE: of a slow link if the mode is ok
door() {
	mode=$2
	[ "$mode" = ok ] && [ "$1" -gt 2 ] && mode=rate:1250000
	control "store?door=$(($1 - 1))&mode=$mode"
}

step() { # WHAT INSTANCE PAUSE_MS EXTRA
	case $1 in
	size)
		make_documents "$(pick "$4" 100 4000 13000)"
		;;
	change) change "$4" ;;
	burst) for i in 1 2 3; do change "$(($4 + i))"; done ;;
	kill-queue) end_process KILL queue "$2" ;;
	term-queue) end_process TERM queue "$2" ;;
	kill-flow) end_process KILL flow "$2" ;;
	pause)
		go_on
		paused=$(pick "$4" "flow-$2" "queue-$2")
		signal STOP "$paused"
		;;
	door) door "$2" "$(pick "$4" refuse silent slow ok ok)" ;;
	link) link "$2" "$(pick "$4" delay silent one-way reset ok ok)" ;;
	forget) control 'store?mode=forget' ;;
	all)
		for n in $(seq "$instances"); do
			door "$n" "$(pick "$4" silent ok refuse ok)"
		done
		;;
	esac
	[ -n "$paused" ] && [ "$1" != pause ] && [ "$(($4 % 2))" = 0 ] && go_on
	return 0
}

heal() {
	go_on
	for n in $(seq "$instances"); do
		link "$n" ok
		door "$n" ok
	done
}

# Prints what was broken.  Statuses 200 and 410 show that the queue was known.
check_answers() {
	awk -v bound_ms="$bound_ms" -v back_ms="$back_ms" '
	FNR == NR { sent[$1] = $2; acked[$1] = $3; last = $1; next }
	{
		split($4, at, "/")
		p = substr(at[2], 2) + 0
		known = $5 == 200 || $5 == 410
		n[$5]++
	}
	known && (p + 1) in acked && $1 > acked[p + 1] + bound_ms {
		print $3, "used /p" p "/", $1 - acked[p + 1], "ms after it was replaced, at", $1
	}
	$5 == 404 && $1 > acked[p] + bound_ms && (p == last || $2 < sent[p + 1]) {
		print $3, "did not know /p" p "/", $1 - acked[p], "ms after it was added, at", $1
	}
	known {
		if (p < newest[$3] && $1 > newest_ms[$3] + back_ms)
			print $3, "went back to /p" p "/ from /p" newest[$3] "/, at", $1
		if (p > newest[$3]) {
			newest[$3] = p
			newest_ms[$3] = $2
		}
	}
	END {
		for (s in n)
			counts = counts " " s ":" n[s]
		print "answers" counts >"/dev/stderr"
	}' "$tmp/changes" "$tmp/answers"
}

paused= probe=0
: >"$tmp/changes"
start_site --stores="$instances"
for n in $(seq "$instances"); do
	start "proxy-$n" proxyd --target="$(echo "$site_rpc" | cut -d, -f"$n")"
done
site_rpc=$(for n in $(seq "$instances"); do rpc_of "proxy-$n"; done | paste -sd,)
for n in $(seq "$instances"); do
	start_instance "$n" --lease-ms=4000
	http_of "queue-$n" | sed 's/.*://' >"$tmp/port.$n"
	door "$n" ok
done
start callers callerd --output="$tmp/answers"
draw_steps >"$tmp/steps"
while read -r what instance pause_ms extra; do
	say "$what $instance $pause_ms $extra"
	step "$what" "$instance" "$pause_ms" "$extra"
	[ "$what" = size ] && change 0
	sleep "$(printf '%d.%03d' $((pause_ms / 1000)) $((pause_ms % 1000)))"
done <"$tmp/steps"
heal
say "all faults ended"
change 0
for n in $(seq "$instances"); do
	await "last document on $n" answers_at "$n" "/p$probe/" 410
done
sleep 1
check_answers >"$tmp/broken" 2>"$tmp/counts"
echo "seed $seed: $probe changes, $(cat "$tmp/counts")," \
	"$(wc -l <"$tmp/broken") by an old document" >&2
cut -d' ' -f2- "$tmp/broken" | head -n 5
echo "seed $seed ended"
if [ -n "$keep" ]; then
	mkdir -p "$keep"
	cp "$tmp/changes" "$tmp/answers" "$tmp/broken" "$tmp"/*.out \
		"$tmp"/*.log "$tmp"/*.err "$keep"/
fi
