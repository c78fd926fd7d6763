# Sourced by the scripts on clients that don't read: starts such clients against a
# process, and checks it while they hold their connections.
# shellcheck shell=sh

# The smallest machine of the users has 120 MB; a process may use half of it.
# Descriptors: half of the 400 that the instances of these scripts have.
peak_kb_max=61440
fds_max=200

# AddressSanitizer keeps freed memory, 256 MB by default, so that uses after free
# are found.  The bound is on what the process itself holds.
ASAN_OPTIONS=${ASAN_OPTIONS:-}:quarantine_size_mb=4:thread_local_quarantine_size_kb=64
export ASAN_OPTIONS

# flood NAME PID FLAG...: prints what must hold of process PID
flood() {
	crowd=$1 target=$2
	shift 2
	# In a folder of its own: what keeps the logs copies files, and would wait.
	mkdir -p "$tmp/fifo"
	mkfifo "$tmp/fifo/in"
	"$TG_TESTBIN/flood" "$@" <"$tmp/fifo/in" >"$tmp/flood.out" \
		2>>"$tmp/flood.err" &
	flood_pid=$!
	pids="$pids $flood_pid"
	exec 9>"$tmp/fifo/in"
	await "end of the flood" grep -q holding "$tmp/flood.out"
	if is_own "$target"; then
		peak=$(awk '/^VmHWM:/ { print $2 }' "/proc/$target/status")
		fds=$(find "/proc/$target/fd" -mindepth 1 | wc -l)
		echo "$crowd: peak ${peak} kB, $fds descriptors" >&2
		[ "$peak" -lt $peak_kb_max ] || echo "$crowd: memory over the bound"
		[ "$fds" -lt $fds_max ] || echo "$crowd: descriptors over the bound"
	else
		echo "$crowd: the process has ended"
	fi
}

# flood_ends: the clients close their connections
flood_ends() {
	exec 9>&-
	wait "$flood_pid"
	forget "$flood_pid"
	rm -f "$tmp/fifo/in"
}
