#!/bin/sh
# Hand-made histories, each with one fact that must not be, checked by
# faultcheck.  Guards against a check that can't fail where no switch of a
# daemon causes the violation.
. "$(dirname "$0")/../lib.sh"

# What every history needs: a request, a save and a gang of two that is done.
cat >"$tmp/sound" <<'END'
{"kind":"attempt","attempt":"1","entry":"e-1","key_kind":"none","key":"","method":"POST","path":"/r1?size=1","sent":"x","curl":0,"status":200,"outcome":"answered","begin_ms":1000,"end_ms":1100,"body":"x"}
{"kind":"run","worker":"w-1","boot":"b1","path":"/r1?size=1","run":1,"start_ms":1050}
{"kind":"save","marker":"save-0","from":0,"status":200,"generation":1,"entry":"console","curl":0,"begin_ms":500,"end_ms":600}
{"kind":"save","marker":"save-1","from":1,"status":200,"generation":2,"entry":"console","curl":0,"begin_ms":700,"end_ms":800}
{"kind":"version","generation":1,"marker":"save-0"}
{"kind":"version","generation":2,"marker":"save-1"}
{"kind":"generation","process":"e-1.run-1","source":"api","generation":1}
{"kind":"generation","process":"e-1.run-1","source":"api","generation":2}
{"kind":"final-generation","name":"e-1","generation":2}
{"kind":"final-generation","name":"s-1","generation":2}
END

task() { # WORKER JOB ATTEMPT INDEX STATE AT-MS [REASON]
	echo "{\"kind\":\"task\",\"worker\":\"$1\",\"boot\":\"b-$1\"," \
		"\"job\":\"$2\",\"attempt\":$3,\"index\":$4,\"gang_size\":2," \
		"\"state\":\"$5\",\"at_ms\":$6,\"reason\":\"${7:-}\"}"
}

member() { # WORKER JOB ATTEMPT INDEX RUN-MS END-MS REASON
	task "$1" "$2" "$3" "$4" reserved "$5"
	task "$1" "$2" "$3" "$4" running "$5"
	task "$1" "$2" "$3" "$4" ended "$6" "$7"
}

member w-1 j-1 1 0 2000 4000 done >>"$tmp/sound"
member w-2 j-1 1 1 2000 4000 done >>"$tmp/sound"

keyed() { # ATTEMPT PATH BEGIN-MS OUTCOME STATUS
	jq -nc --arg a "$1" --arg p "$2" --argjson t "$3" --arg o "$4" \
		--argjson s "$5" '{kind: "attempt", attempt: $a, entry: "e-1",
		key_kind: "caller", key: "k", method: "POST", path: $p,
		sent: "x", curl: 0, status: $s, outcome: $o, begin_ms: $t,
		end_ms: ($t + 100), body: ""}'
}

run() { # PATH RUN START-MS
	echo "{\"kind\":\"run\",\"worker\":\"w-1\",\"boot\":\"b1\"," \
		"\"path\":\"$1\",\"run\":$2,\"start_ms\":$3}"
}

# check NAME [FLAG...]: the sound history with the lines of stdin
check() {
	name=$1
	shift
	cat "$tmp/sound" - >"$tmp/history"
	echo "# $name"
	"$TG_BIN/faultcheck" --history="$tmp/history" "$@" 2>&1
}

: | check "sound"

echo '{"kind":"generation","process":"e-1.run-1","source":"api","generation":1}' |
	check "older generation after a newer one"
echo '{"kind":"generation","process":"e-1.run-2","source":"api","generation":1}' |
	check "older generation after a restart"
echo '{"kind":"final-generation","name":"s-2","generation":1}' |
	check "older generation at rest"
echo '{"kind":"version","generation":2,"marker":"save-2"}' |
	check "generation written twice"
echo '{"kind":"save","marker":"save-2","from":1,"status":200,"generation":2}' |
	check "accepted save of another document"
{
	echo '{"kind":"save","marker":"save-2","from":2,"status":409}'
	echo '{"kind":"version","generation":3,"marker":"save-2"}'
} | check "refused save that was written"

{
	keyed 2 /r2 2000 unknown 504
	run /r2 2 2050
	run /r2 3 2060
} | check "request with a key that ran twice"
keyed 2 /r2 2000 answered 200 | check "answer without a run"
{
	keyed 2 /r2 2000 not-run 503
	run /r2 2 2050
} | check "refused request that ran"
{
	keyed 2 /r2 2000 unknown 504
	keyed 3 /r2 3000 not-run 429
	run /r2 2 2050
} | check "refused after an earlier attempt ran"
{
	keyed 2 /r2 2000 unknown 504
	keyed 3 /r2 2010 not-run 429
	run /r2 2 2050
} | check "refused before another attempt ran"
keyed 2 /r2 2000 unknown 503 | check "unknown by an outage of the claims"
keyed 2 /r2 2000 unknown 503 | jq -c '.key = "" | .key_kind = "none"' |
	check "unknown without a key in an outage"
{
	echo '{"kind":"submit","job":"j-2","status":503,"outcome":"not-run"}'
	member w-1 courts/j-2 1 0 5000 6000 stopped
	member w-2 courts/j-2 1 1 5000 6000 stopped
} | check "refused job that ran"

echo '{"kind":"submit","job":"j-2","status":201,"outcome":""}' |
	check "accepted job that is lost"
{
	echo '{"kind":"submit","job":"j-2","status":201,"outcome":""}'
	echo '{"kind":"final-job","job":"j-2","state":"cancelled"}'
} | check "job cancelled by nobody"
echo '{"kind":"not-reached","what":"end of j-2"}' | check "no rest"

{
	member w-1 j-2 1 0 5000 9000 expired
	member w-2 j-2 1 1 5000 9000 stopped
	member w-2 j-2 2 0 8000 9500 done
	member w-3 j-2 2 1 9000 9500 done
} | check "two attempts at one time"
{
	member w-1 j-2 1 0 5000 8000 expired
	member w-2 j-2 1 1 5000 14101 stopped
} | check "a part alone past lease and margin"
{
	member w-1 j-2 1 0 5000 8000 expired
	member w-2 j-2 1 1 5000 14100 stopped
} | check "a part alone within lease and margin"
{
	member w-1 j-2 1 0 5000 6000 done
	member w-2 j-2 1 1 5000 6000 done
	member w-1 j-2 2 0 7000 8000 done
	member w-2 j-2 2 1 7000 8000 done
} | check "a job that was done ran again"
{
	member w-1 j-2 1 0 5000 30000 expired
	member w-2 j-2 1 1 5000 30000 expired
	echo '{"kind":"fault","name":"platform","fault":"outage-hang","at_ms":20000}'
	echo '{"kind":"fault","name":"s-1","fault":"kill","at_ms":21000}'
} | check "a whole gang expired in an outage" --lease-ms=6000
{
	member w-1 j-2 1 0 5000 30000 expired
	member w-2 j-2 1 1 5000 30000 expired
	echo '{"kind":"fault","name":"s-1","fault":"kill","at_ms":21000}'
	echo '{"kind":"fault","name":"s-2","fault":"stop","at_ms":21000}'
} | check "a whole gang expired without a scheduler" --lease-ms=6000

{
	echo '{"kind":"terminated","name":"e-1","at_ms":5000}'
	echo '{"kind":"ended","name":"e-1","status":1}'
	keyed 2 /r2 4950 "" 0 | jq -c '.curl = 52'
} | check "a planned stop that cut a request"
{
	echo '{"kind":"terminated","name":"e-1","at_ms":5000}'
	echo '{"kind":"ended","name":"e-1","status":0}'
	keyed 2 /r2 5301 "" 0 | jq -c '.curl = 7'
} | check "a call after the first half of the grace period"
