# A node that was stopped broke off requests of another one that was stopped a
# moment later: it had taken work that could outlast it.
. regress/e2e/lib.sh
. regress/stand/platform.sh
COUNT=16

PLATFORM_WORKER_OPTIONS="--slots 32 --work-ms 3600"
platform_start_fleet 1-1:kiln 1-2:kiln 3-1:ops 3-2:ops ||
    die "the store does not start"
platform_document 5 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/mould/", "type": "unsafe", "timeout_s": 5,
 "target_latency_s": 4, "priority": 0, "service": "kiln", "attempts": 1}' |
    platform_put_document
fleet_until 200 platform_all_ready || die "not ready"
fleet_until 200 platform_served_by 3-1 /mould/1 w || die "not served"

# How long the work takes is not known of a route that nobody has used.
platform_document 6 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/new/", "type": "unsafe", "timeout_s": 5,
 "target_latency_s": 4, "priority": 0, "service": "kiln", "attempts": 1}' |
    platform_put_document
has_new_route() {
	[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' \
	    -H 'Jacinthdyke-Request-Id: q' \
	    "http://127.$FLEET_NET.$1:8000/mould/2")" = 404 ]
}
for n in 1.1 1.2 3.1; do
	fleet_until 100 has_new_route $n || die "$n has no new route"
done

fleet_kill 1-1 TERM
sleep 1
fleet_kill 3-1 TERM
sleep 1.2
for i in $(seq $COUNT); do
	curl -s -m 9 -o /dev/null -w '%{http_code}\n' -X POST \
	    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: order.$i" \
	    "http://127.$FLEET_NET.3.1:8000/new/1" >>"$FLEET_DIR/answers" &
done
all_ended() {
	[ "$(wc -l <"$FLEET_DIR/answers")" -ge $COUNT ]
}
fleet_until 200 all_ended || die "not all have ended"
say "ran without a whole answer:" \
    "$(($(platform_copies_since order 0) - $(grep -c '^200$' "$FLEET_DIR/answers")))"
say "answered: $(grep -c '^200$' "$FLEET_DIR/answers") of $COUNT"
fleet_until 100 fleet_is_gone 3-1 || die "3-1 does not stop"
say "the node is gone"
