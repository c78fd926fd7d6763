# Settings: all findings at once, and a warning for each mechanism turned off.
# Guards against a fault switch that is left on without a trace.
. "$TG_TESTS/sched-lib.sh"
unset TG_SCHED_RENEW_MS TG_SCHED_LEASE_MS TG_RENEW_MS TG_LEASE_MS TG_CALL_MS
"$TG_BIN/tgschedd" --az A --lease-ms -1 2>&1
echo "exit status: $?"
"$TG_BIN/tgschedd" --instance s --az a --platform 127.0.0.1:1 --pause-at x \
	--lease-ms 1000 --sched-lease-ms 1900 2>&1
echo "exit status: $?"
start s1 tgschedd --instance s1 --az a --platform 127.0.0.1:1 \
	--unsafe-ignore-epoch --unsafe-start-before-reserved \
	--unsafe-renew-partial-gangs --unsafe-no-outage-renewal \
	--unsafe-restart-before-expiry --unsafe-reuse-attempts \
	--unsafe-assume-not-written --unsafe-keep-row --unsafe-no-reclaim \
	--unsafe-takeover-restarts --unsafe-renew-with-table-only \
	--unsafe-ignore-holder --unsafe-ignore-renewers
grep -o 'EV3040.*' "$W/s1.err"
echo "readyz: $(curl -s -o /dev/null -w '%{http_code}' "http://$s1_http/readyz")"
call s1 submit courts x '{}'
:
