#!/bin/sh
# A config brings a tenant whose name is longer than 63 bytes; its callers hand
# in jobs.
. "$(dirname "$0")/../common-2.sh"
key_of_new=k9
tenant="Karabulut Adliye Bilişim A.Ş. Bölge Adliye Mahkemesi Yazı İşleri Müdürlüğü"
[ "$TROUBLE" = 1 ] || tenant="Yazı İşleri Müdürlüğü"
ends_1=0 ends_2=0 lost=0

# restart_if_ended N: as the platform does
restart_if_ended() {
	is_own "$(pid_of "queue-$1")" && return
	wait "$(pid_of "queue-$1")" 2>/dev/null
	note "the process of role queue on instance $1 has ended by itself: $?"
	forget "$(pid_of "queue-$1")"
	eval "ends_$1=\$((ends_$1 + 1))"
	n=$1
	sleep 0.5
	launch "queue-$n" tgqueued --metrics-addr="$net.$n:7001"
	attempt 100 answers "$n" 410 0000000000000000 ||
		cannot "no configuration on instance $n"
}

site --workers=4
control config "$(echo "$config" | jq -c --arg n "$tenant" '.version = 9 |
	.tenants += [{"name":$n,"api-keys":["k9"],"guaranteed":{"gpu":0}}]')"
note "config 9 is acknowledged: tenant \"$tenant\" ($(printf %s "$tenant" | wc -c) bytes)"
sleep 4
# The first attempt and two retries, which reach other daemons, of two callers.
for job in 00000000000000e1 00000000000000e2; do
	code=000
	for try in 1 2 3; do
		for instance in 1 2; do
			[ "$code" != 200 ] || continue
			key=$key_of_new
			code=$(submit $instance $job "ms=300" "$(steps 1)")
			key=k1
			note "sent POST $job to instance $instance: $code"
			sleep 0.2
			restart_if_ended $instance
		done
	done
	[ "$code" = 200 ] || lost=$((lost + 1))
done
text="queue processes ended by themselves $ends_1 times on instance 1 and
 $ends_2 times on instance 2; $lost of 2 jobs found no answer"
if [ $ends_1 -ge 3 ] && [ $ends_2 -ge 3 ]; then
	verdict 1 "Fault:" $text
fi
verdict 0 "held:" $text
