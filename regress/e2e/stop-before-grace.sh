# A node that was stopped ended seconds before its grace time was over, with the
# requests that it had taken and that its targets ran to their end.
. regress/e2e/lib.sh
. regress/stand/platform.sh
# Sends orders to 3-1, one each 50 ms for 3.3 s, and records how they end.
send_orders() {
	local end=$(($(platform_now) + 3300000))
	while [ "$(platform_now)" -lt $end ]; do
		sent=$((sent + 1))
		curl -s -m 12 -o /dev/null -w '%{http_code} %{exitcode}\n' -X POST \
		    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: stop.$sent" \
		    "http://127.$FLEET_NET.3.1:8000/mould/2" \
		    >>"$FLEET_DIR/answers" &
		sleep 0.05
	done
	wait
}

PLATFORM_WORKER_OPTIONS="--slots 64 --work-ms 2800"
PLATFORM_BOUNDS="seed_lag_s=3 drain_s=4 grace_s=10 lost_s=0.2 retry_ratio=0.2"
platform_start_fleet 1-1:kiln 1-2:kiln 3-1:ops || die "the store does not start"
platform_document 5 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/mould/", "type": "unsafe", "timeout_s": 4,
 "target_latency_s": 3, "priority": 0, "service": "kiln", "attempts": 1}' |
    platform_put_document
for n in 1-1 1-2 3-1; do
	fleet_until 200 platform_is_ready $n || die "$n is not ready"
done
fleet_until 200 platform_served_by 3-1 /mould/1 w || die "not served"

sent=0
fleet_kill 3-1 TERM
send_orders
ran=$(platform_copies_since stop 0)
whole=$(grep -c '^200 0$' "$FLEET_DIR/answers")
grep -v '^200 0$' "$FLEET_DIR/answers" | sort | uniq -c >&2
say "requests that ran without a whole answer: $((ran - whole))"
[ "$ran" -ge 8 ] || say "only $ran of $sent ran"
# The last ones may find that it takes no connections any more (7).
say "not answered, refused or not taken:" \
    "$(grep -c -v '^200 0$\|^503 0$\|^000 7$' "$FLEET_DIR/answers")"
# It ends when nothing is owed, not only at the end of the grace time.
fleet_until 60 fleet_is_gone 3-1 || die "3-1 does not stop"
grep -o '"event":"stopped","outcome":"[a-z]*"' "$FLEET_DIR/3-1.log"
