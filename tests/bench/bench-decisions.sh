#!/bin/sh
# Measures the goals of docs/design.md, section 5, on seeded traces: "key value"
# lines, ratios as min, mean and max over seeds and kinds of traces.
# SEEDS (default 5), KINDS, LOADS, TARGET (yes or no) and TARGET_SEEDS (days of
# the target's size, default 2) limit it.
set -eu
cd "$(dirname "$0")/../.."
bin=$PWD/${BUILD:-build}/bin
gen=$PWD/${BUILD:-build}/bench/tracegen
seeds=${SEEDS:-5}
kinds=${KINDS:-mixed bursts false-times cancels faults}
loads=${LOADS:-70 90}
target_seeds=${TARGET_SEEDS:-2}
policies="fifo-firstfit fifo-bestfit backfill-declared completion fragmentation"
procs=4
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# One run: DIRECTORY POLICY.
cat >"$dir/run" <<END
#!/bin/sh
set -- "\${1%:*}" "\${1#*:}"
timeout 200 "$bin/tgplace" --fleet "\$1/fleet.csv" --jobs "\$1/jobs.csv" \\
	--guarantees "\$1/guarantees.csv" --faults "\$1/faults.csv" \\
	--details --policy "\$2" >"\$1/\$2.out" || echo "failed 1" >>"\$1/\$2.out"
END
chmod +x "$dir/run"

run_all() { # DIRECTORY:POLICY lines on stdin
	xargs -P $procs -n 1 "$dir/run"
}

# --- sizes of today ---

for load in $loads; do
	for kind in $kinds; do
		for seed in $(seq "$seeds"); do
			d=$dir/today-$load-$kind-$seed
			"$gen" --size today --kind "$kind" --seed "$seed" \
				--load-percent "$load" --out "$d"
			for p in $policies; do
				echo "$d:$p"
			done
		done
	done
done >"$dir/list"
run_all <"$dir/list"

# Prints a table "load kind seed policy key value".
table() {
	for d in "$dir"/today-*; do
		id=${d##*/today-}
		for p in $policies; do
			sed "s/^/$id $p /" "$d/$p.out"
		done
	done | sed 's/^\([0-9]*\)-\(.*\)-\([0-9]*\) /\1 \2 \3 /'
}
table >"$dir/table"

# Ratios of ours over each baseline and over the best of them.
awk '
function low(key) { return key != "utilization_mean" }
function better(key, a, b) { return low(key) ? a < b : a > b }
function add(name, x) {
	if (!(name in n) || x < min[name]) min[name] = x
	if (!(name in n) || x > max[name]) max[name] = x
	if (!(name in n)) order[++m] = name
	n[name]++
	sum[name] += x
}
function compare(run, load, p, key, base, what,    x, b) {
	x = v[run, p, key]
	b = v[run, base, key]
	if (key == "utilization_mean")
		x = 100 * (x - b)
	else
		x = b ? x / b : x ? 999 : 1
	add("load" load "." p "." key "." what, x)
}
BEGIN {
	split("fifo-firstfit fifo-bestfit backfill-declared", base, " ")
	split("completion fragmentation", ours, " ")
	split("completion_mean_s fragmentation_mean utilization_mean " \
	      "gang_wait_p95_s slowdown_p95", keys, " ")
}
{
	run = $1 " " $2 " " $3
	if (!(run in seen)) { seen[run] = $1; runs[++r] = run }
	v[run, $4, $5] = $6
	if ($5 == "guarantee_violations" || $5 == "partial_gangs" ||
	    $5 == "jobs_stranded" || $5 == "failed")
		total[$4 "." $5] += $6
	if ($5 ~ /^(urgent_jobs|urgent_late|moves|reclaims_lent)$/ ||
	    $5 == "reclaims_beyond")
		total[$4 "." $5] += $6
	if ($5 ~ /^fragmentation/)
		add("load" $1 "." $4 "." $5, $6)
	if ($5 == "urgent_wait_max_s" && $6 > urgent[$4]) urgent[$4] = $6
	if ($5 == "decision_p99_us" && $6 > p99[$4]) p99[$4] = $6
}
END {
	print "today.runs", r
	for (i = 1; i <= r; i++)
		for (o = 1; o <= 2; o++)
			for (k = 1; k <= 5; k++) {
				best = base[1]
				for (b = 1; b <= 3; b++) {
					compare(runs[i], seen[runs[i]],
						ours[o], keys[k], base[b],
						"over." base[b])
					if (better(keys[k],
						   v[runs[i], base[b], keys[k]],
						   v[runs[i], best, keys[k]]))
						best = base[b]
				}
				compare(runs[i], seen[runs[i]], ours[o],
					keys[k], best, "over.best")
			}
	for (i = 1; i <= m; i++)
		printf "today.%s %.3f %.3f %.3f\n", order[i], min[order[i]],
			sum[order[i]] / n[order[i]], max[order[i]]
	for (t in total)
		print "today." t, total[t] | "sort"
	close("sort")
	for (p in urgent)
		print "today." p ".urgent_wait_max_s", urgent[p] + 0 | "sort"
	close("sort")
	for (p in p99)
		print "today." p ".decision_p99_us", p99[p] | "sort"
	close("sort")
}' "$dir/table"

# --- the size of the target, and parts of it ---

[ "${TARGET:-yes}" = yes ] || exit 0
target() { # PERCENT SEED JOBS DIRECTORY POLICY...
	"$gen" --size target --kind mixed --seed "$2" --percent "$1" \
		--jobs "$3" --out "$4"
	d=$4
	shift 4
	for p in "$@"; do
		echo "$d:$p"
	done
}
figures() { # DIRECTORY PREFIX
	for p in fifo-firstfit fifo-bestfit backfill-declared completion \
		fragmentation; do
		[ -f "$1/$p.out" ] || continue
		grep -e completion_mean -e fragmentation -e utilization \
			-e violations -e partial -e stranded -e decision \
			-e urgent -e peak_rss -e failed "$1/$p.out" |
			sed "s/^/$2.$p./"
	done
}

for percent in 12 25 50 100; do
	target $percent 1 $((10000 * percent / 100)) "$dir/target-$percent" \
		completion fragmentation
done >"$dir/list"
for seed in $(seq "$target_seeds"); do
	target 100 "$seed" 0 "$dir/day-$seed" $policies
done >>"$dir/list"
run_all <"$dir/list"
for seed in $(seq "$target_seeds"); do
	figures "$dir/day-$seed" "target.day$seed"
done
for percent in 12 25 50 100; do
	racks=$(($(sed 1d "$dir/target-$percent/fleet.csv" | wc -l) / 8))
	figures "$dir/target-$percent" "target.racks$racks"
done >"$dir/target"
cat "$dir/target"

# Growth of the mean time of a decision over growth of the number of racks.
awk '
/decisions_per_s/ {
	split($1, part, ".")
	racks = substr(part[2], 6) + 0
	p = part[3]
	if (!(p in small)) { small[p] = racks; us[p] = 1e6 / $2 }
	big[p] = racks
	last[p] = 1e6 / $2
}
END {
	for (p in small)
		if (big[p] > small[p]) {
			print "target." p ".racks_growth", big[p] / small[p]
			printf "target.%s.decision_us_growth %.2f\n", p,
				last[p] / us[p]
		}
}' "$dir/target" | sort
