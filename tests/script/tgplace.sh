# The figures of a trace that is small enough to be computed by hand, the
# determinism of a generated one, and the findings of invalid input.
set -u
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir" || exit 1

jobs_header=submit_s,job,workspace,az,tasks,accelerators_per_task
jobs_header=$jobs_header,cores_per_task,memory_gb_per_task,declared_s,actual_s
jobs_header=$jobs_header,class,cancel_s

cat >fleet.csv <<END
az,rack,worker,cores,memory_gb,accelerators
a,r-1,w-1,64,256,8
a,r-1,w-2,64,256,8
END
cat >guarantees.csv <<END
workspace,az,tasks,accelerators_per_task,within_rack,lapses_s
ws-a,a,1,8,1,
END
# l-1 runs 100 s, is reclaimed for g-1 and runs its 900 s from 400 on.  l-2
# loses the 200 s after its checkpoint at 600 s on 16 accelerators.
cat >jobs.csv <<END
$jobs_header
0,l-1,ws-b,a,2,8,8,8,100,1000,lent,
100,g-1,ws-a,a,1,8,8,8,300,300,guaranteed,
2000,u-1,ws-b,any,1,4,4,4,100,100,urgent,
2100,l-2,ws-b,a,2,8,8,8,1500,1500,lent,
4000,l-3,ws-b,a,2,8,8,8,1500,1500,lent,4010
4000,r-1,ws-b,a,3,8,8,8,1500,1500,lent,
END
cat >faults.csv <<END
at_s,worker,what
2900,w-2,down
3000,w-2,up
END

stable() { # all lines but those of the timing keys
	grep -v -e '^decision' -e '^peak_rss_kb'
}

place() { # POLICY DIRECTORY [FLAG...]
	p=$1 d=$2
	shift 2
	"$TG_BIN/tgplace" --fleet "$d/fleet.csv" --jobs "$d/jobs.csv" \
		--guarantees "$d/guarantees.csv" --faults "$d/faults.csv" \
		--policy "$p" "$@"
}

for p in fifo-firstfit fifo-bestfit backfill-declared completion \
	fragmentation; do
	echo "== $p"
	place $p . >out
	stable <out
	echo "keys: $(wc -l <out)"
done

echo "== the same input and seed give the same lines"
"$TG_TESTBIN/../bench/tracegen" --kind faults --seed 7 --jobs 400 --out gen
for p in fifo-firstfit backfill-declared completion fragmentation; do
	place $p gen --seed 3 | stable >one
	place $p gen --seed 3 | stable >two
	cmp one two && echo "$p same"
	grep -e violations -e partial -e stranded one
done

echo "== findings"
cat >bad-fleet.csv <<END
az,rack,worker,cores,memory_gb,accelerators
a,r-1,w-1,64,256,8
a,r-1,w-1,64,256,8
a,r-1,W,64,256,-1
a,r-1,w-3,64,256
END
cat >bad-jobs.csv <<END
$jobs_header
0,j-1,ws,a,1,1,1,1,10,10,lent,
x,j-1,ws,b,0,1,1,1,10,0,idle,5
10,j-2,ws,a,1,99999999999999999999,1,1,10,10,lent,5
END
printf 'at_s,worker,what\n1,w-9,explodes\n' >bad-faults.csv
printf 'workspace,az,tasks\n' >bad-guarantees.csv
"$TG_BIN/tgplace" --fleet bad-fleet.csv --jobs bad-jobs.csv \
	--guarantees bad-guarantees.csv --faults bad-faults.csv \
	--policy best 2>&1
echo "status $?"
"$TG_BIN/tgplace" --fleet none.csv --jobs /dev/null --policy completion 2>&1
echo "status $?"
"$TG_BIN/tgplace" --fleet fleet.csv --seed x 2>&1
echo "status $?"
