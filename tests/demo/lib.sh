# Sourced by the demo scripts: starts and stops the system on loopback.
# shellcheck shell=sh
set -eu
cd "$(dirname "$0")/../.."
dir=$PWD/build/demo
bin=$PWD/build/bin

address() { # NAME
	sed -n "s/^$1=//p" "$dir/addresses"
}

start() { # NAME PROGRAM FLAG...
	name=$1 prog=$2
	shift 2
	"$bin/$prog" "$@" >"$dir/$name.out" 2>"$dir/$name.err" </dev/null &
	echo "$name=$!" >>"$dir/pids"
	i=0
	until grep -q ' ready ' "$dir/$name.out"; do
		i=$((i + 1))
		if [ $i -gt 100 ]; then
			echo "$name did not start:" >&2
			cat "$dir/$name.err" >&2
			exit 1
		fi
		sleep 0.1
	done
	http=$(sed -n 's/.* http=\([^ ]*\).*/\1/p' "$dir/$name.out")
	rpc=$(sed -n 's/.* rpc=\([^ ]*\).*/\1/p' "$dir/$name.out")
	echo "$name=$http" >>"$dir/addresses"
}

start_instance() { # NAME KIND PROGRAM AZ FLAG...
	n=$1 kind=$2 prog=$3 az=$4
	shift 4
	start "$n" "$prog" --instance="$n" --az="$az" \
		--platform="$(address platform)" "$@"
	curl -sf -o /dev/null "http://$(address platform)/standin/instances" \
		-d "{\"name\":\"$n\",\"kind\":\"$kind\",\"az\":\"$az\",
		\"addr\":\"$http\",\"rpc_addr\":\"$rpc\"}"
}

await() { # WHAT COMMAND...
	what=$1
	shift
	i=0
	until "$@" >/dev/null 2>&1; do
		i=$((i + 1))
		if [ $i -gt 300 ]; then
			echo "no $what" >&2
			exit 1
		fi
		sleep 0.1
	done
}

ready() { # NAME
	curl -sf "http://$(address "$1")/readyz"
}

# The row of an AZ's scheduler is written before it has its workers.
sched_active() { # NAME
	grep -q EV3001 "$dir/$1.err"
}

ctl() {
	"$bin/tgctl" --entry="$(address entry-1)" \
		--console="$(address console-1)" \
		--operator-key-file="$dir/operator.key" --operator=demo "$@"
}

up() {
	if [ -f "$dir/pids" ]; then
		echo "already up: make demo-down first" >&2
		exit 1
	fi
	mkdir -p "$dir"
	: >"$dir/addresses"
	: >"$dir/pids"
	echo demo-operator-key >"$dir/operator.key"
	start platform platformd
	for w in 1 2; do
		start "worker-$w" workerd --name="worker-$w" --az=north \
			--rack=n1 --platform="$(address platform)"
	done
	for w in 3 4; do
		start "worker-$w" workerd --name="worker-$w" --az=south \
			--rack=s1 --platform="$(address platform)"
	done
	start_instance sched-1 sched tgschedd north
	start_instance sched-2 sched tgschedd south
	start_instance entry-1 entry tgentryd north --drain-grace-ms=500
	start_instance entry-2 entry tgentryd south --drain-grace-ms=500
	start_instance console-1 console tgconsoled north \
		--operator-key-file="$dir/operator.key"
	await "console" ready console-1
	ctl --generation=0 document put tests/demo/document.json >/dev/null
	for d in entry-1 entry-2 sched-1 sched-2; do
		await "readiness of $d" ready "$d"
	done
	await "active scheduler in north" sched_active sched-1
	await "active scheduler in south" sched_active sched-2
}

down() {
	[ -f "$dir/pids" ] || return 0
	status=0
	# In reverse order: the platform goes last.
	for line in $(sort -t= -k2 -n -r "$dir/pids"); do
		pid=${line#*=}
		kill -TERM "$pid" 2>/dev/null || continue
		i=0
		while kill -0 "$pid" 2>/dev/null; do
			i=$((i + 1))
			if [ $i -gt 150 ]; then
				echo "${line%=*} did not drain, killed" >&2
				kill -KILL "$pid" 2>/dev/null
				status=1
				break
			fi
			sleep 0.1
		done
	done
	rm -f "$dir/pids" "$dir/addresses"
	return $status
}
