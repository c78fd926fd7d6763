# Sourced by the measuring scripts: processes, samples of metrics, fits.
# Processes come from tests/lib.sh, which ends them by id when the script ends.
# shellcheck shell=sh
cd "$(dirname "$0")/../.." || exit 1
TG_BIN=$PWD/${BUILD:-build}/bin
TG_TESTS=$PWD/tests
. tests/lib.sh
# The daemons run with their own defaults, not with those of the tests.
unset TG_PROBE_MS
begin_s=$(date +%s)

# line KEY VALUE UNIT
line() {
	echo "$1 $2 $3"
}

# about: what the figures depend on
about() {
	line commit "$(git rev-parse --short HEAD)" -
	line date "$(date -u +%Y-%m-%dT%H:%M:%SZ)" UTC
	line cores "$(nproc)" cores
	line load_average "$(cut -d' ' -f1 /proc/loadavg)" processes
}

# stat KEY: a counter of the platform stand-in
stat() {
	curl -s "http://$platform_http/standin/stats" | jq ".$1"
}

# rss NAME: resident memory in KiB
rss() {
	awk '/^VmRSS:/ { print $2 }' "/proc/$(pid_of "$1")/status"
}

# sample NAME: one line "seconds cpu_us rss_kb http_in http_out rpc_in rpc_out
# table_reads table_writes table_txns probes page-bytes"
sample() {
	curl -s "http://$(http_of "$1")/metrics" |
		awk -v t="$(date +%s.%N)" '
		{ v[$1] = $2; size += length($0) + 1 }
		function n(k) { return v[k] + 0 }
		END {
			print t, n("tg_process_cpu_us_total"),
				n("tg_process_resident_kb"),
				n("tg_http_bytes_total{direction=\"in\"}"),
				n("tg_http_bytes_total{direction=\"out\"}"),
				n("tg_rpc_bytes_total{direction=\"in\"}"),
				n("tg_rpc_bytes_total{direction=\"out\"}"),
				n("tg_table_reads_total"),
				n("tg_table_writes_total"),
				n("tg_table_txns_total"),
				n("tg_probes_total"), size
		}'
}

# start_sched NAME AZ FLAG...: a listed scheduler daemon
start_sched() {
	sname=$1 saz=$2
	shift 2
	start "$sname" tgschedd --instance="$sname" --az="$saz" \
		--platform="$platform_http" --log-level=info "$@"
	curl -sf -o /dev/null -d "{\"name\":\"$sname\",\"kind\":\"sched\",
		\"az\":\"$saz\",\"addr\":\"$(http_of "$sname")\",
		\"rpc_addr\":\"$(rpc_of "$sname")\"}" \
		"http://$platform_http/standin/instances"
}

# launch NAME PROGRAM FLAG...: like start, without waiting; see settled
launched=
launch() {
	name=$1 prog=$2
	shift 2
	"$TG_BIN/$prog" "$@" >"$tmp/$name.out" 2>>"$tmp/$name.err" &
	pids="$pids $!"
	eval "$(echo "$name" | tr - _)_pid=$!"
	launched="$launched $name"
}

# settled: waits for the ready lines of what was launched
settled() {
	for name in $launched; do
		await "ready line of $name" grep -q ' ready ' "$tmp/$name.out"
		ready=$(cat "$tmp/$name.out")
		ready=${ready#*http=}
		var=$(echo "$name" | tr - _)
		eval "${var}_http=${ready%% *} ${var}_rpc=${ready#*rpc=}"
	done
	launched=
}

# list_daemon NAME KIND AZ
list_daemon() {
	curl -sf -o /dev/null -d "{\"name\":\"$1\",\"kind\":\"$2\",
		\"az\":\"$3\",\"addr\":\"$(http_of "$1")\",
		\"rpc_addr\":\"$(rpc_of "$1")\"}" \
		"http://$platform_http/standin/instances"
}

# usage BEFORE AFTER: "cpu_percent rss_kb http_in http_out rpc_in rpc_out reads
# writes probes" per second between two samples.  The page of the first sample
# was sent within the window and is taken off.
usage() {
	paste -d' ' "$1" "$2" | awk '{
		s = $13 - $1
		printf "%.4f %d %.1f %.1f %.1f %.1f %.3f %.3f %.2f\n",
			($14 - $2) / s / 1e4, $15, ($16 - $4) / s,
			($17 - $5 - $12) / s, ($18 - $6) / s, ($19 - $7) / s,
			($20 - $8) / s, ($21 - $9) / s, ($23 - $11) / s
	}'
}

# start_console NAME AZ
start_console() {
	echo bench-operator-key-0123456789 >"$tmp/key"
	start "$1" tgconsoled --instance="$1" --az="$2" --drain-grace-ms=0 \
		--operator-key-file="$tmp/key" --platform="$platform_http"
	curl -sf -o /dev/null -d "{\"name\":\"$1\",\"kind\":\"console\",
		\"az\":\"$2\",\"addr\":\"$(http_of "$1")\",
		\"rpc_addr\":\"$(rpc_of "$1")\"}" \
		"http://$platform_http/standin/instances"
}

# sched_active NAME: it has its workers and takes jobs
sched_active() {
	grep -q EV3001 "$tmp/$1.err"
}

# list_workers: puts one list entry per input line "NAME AZ ADDR SERVICE-ADDR",
# over one connection
list_workers() {
	awk -v url="http://$platform_http/standin/instances" '
	{
		if (NR > 1) print "next"
		print "url = \"" url "\""
		print "silent"
		print "output = \"/dev/null\""
		printf "data = \"{\\\"name\\\":\\\"%s\\\",\\\"kind\\\":" \
			"\\\"worker\\\",\\\"az\\\":\\\"%s\\\",\\\"rack\\\":" \
			"\\\"r%d\\\",\\\"addr\\\":\\\"%s\\\"," \
			"\\\"service_addr\\\":\\\"%s\\\",\\\"cores\\\":128," \
			"\\\"memory_gb\\\":256,\\\"accelerators\\\":8," \
			"\\\"slots\\\":8,\\\"connections\\\":64}\"\n",
			$1, $2, NR / 8, $3, $4
	}' | curl -s -K - >/dev/null
}

# fit KEY UNIT: least-squares line through "x y" lines, with standard errors
fit() {
	awk -v key="$1" -v unit="$2" '
	NF == 2 { n++; x[n] = $1; y[n] = $2; sx += $1; sy += $2 }
	END {
		if (n < 3) { print key "_slope none " unit; exit }
		mx = sx / n; my = sy / n
		for (i = 1; i <= n; i++) {
			sxx += (x[i] - mx) ^ 2
			sxy += (x[i] - mx) * (y[i] - my)
		}
		b = sxy / sxx; a = my - b * mx
		for (i = 1; i <= n; i++) ss += (y[i] - a - b * x[i]) ^ 2
		s = sqrt(ss / (n - 2))
		printf "%s_base %.4g %s\n", key, a, unit
		printf "%s_base_error %.2g %s\n", key,
			s * sqrt(1 / n + mx * mx / sxx), unit
		printf "%s_slope %.4g %s/unit\n", key, b, unit
		printf "%s_slope_error %.2g %s/unit\n", key, s / sqrt(sxx), unit
	}'
}

# summary KEY UNIT: median, least and greatest of the numbers on stdin
summary() {
	sort -g | awk -v key="$1" -v unit="$2" '
	{ v[NR] = $1 }
	END {
		if (!NR) { print key, "none", unit; exit }
		m = NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2
		printf "%s %.4g %s\n%s_min %.4g %s\n%s_max %.4g %s\n",
			key, m, unit, key, v[1], unit, key, v[NR], unit
	}'
}

# median KEY UNIT: of the numbers on stdin
median() {
	summary "$1" "$2" | head -n 1
}
