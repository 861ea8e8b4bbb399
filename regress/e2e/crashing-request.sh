# A request that crashes its targets was sent to one target after another.
. regress/e2e/lib.sh
. regress/stand/platform.sh

platform_start_eight 60
for n in 3-1 4-2; do
	platform_send_steadily $n /kiln/other "$FLEET_DIR/$n.answers" &
done
platform_send_copies crash 160 3-2 /kiln/crash &
platform_send_copies crash 160 4-2 /kiln/crash &
for i in $(seq 20); do
	platform_send_copies beside 1 1-1 /kiln/beside-$i
done
platform_send_copies order 100 3-1 /order/crash -X POST -d 'size=7' &
platform_send_copies for 100 4-2 /kiln/crash-for-ops &
sleep 9
say "copies of a lookup are stopped: $(platform_is_stopped crash)"
say "copies of an order are stopped: $(platform_is_stopped order)"
say "copies of one caller are stopped: $(platform_is_stopped for)"
sleep 2
say "the next copy: $(platform_request 4-2 /kiln/crash)"
say "the next order: $(platform_request 1-1 /order/crash -X POST -d 'size=7')"
say "another body: $(platform_request 1-1 /order/1 -X POST -d 'size=8' |
    sed 's/ w.*//')"
say "the same of another caller: $(platform_request 1-1 /kiln/crash-for-ops |
    sed 's/ w.*//')"
refused=0
for i in $(seq 20); do
	[ "$(platform_request 1-1 /kiln/beside-$i | cut -c 1-3)" = 200 ] ||
	    refused=$((refused + 1))
done
say "requests that ran beside it and are refused now: $refused"
statuses=$(tail -n 60 "$FLEET_DIR/4-2.answers" | sort -u | tr '\n' ' ')
say "other work is served again: $statuses"
[ "$statuses" = "200 " ] || { date +%s; platform_refusals 4-2; } >&2
touch "$FLEET_DIR/stop"

# An operator lets the order run again; it has 60 ms to crash one more target.
admin="--node 127.$FLEET_NET.1.1:8100"
order=$(grep -h '"was-running","id":"order' "$FLEET_DIR"/*.log | head -n 1 |
    sed 's/.*"request":"\([0-9a-f]*\)".*/\1/')
say "listed: $(fleet_ctl $admin crashes | grep "^$order" | sed 's/^[0-9a-f]* //')"
say "unknown: $(fleet_ctl $admin clear 12 2>&1 | sed 's/127[0-9.:]*/NODE/')"
fleet_ctl $admin clear "$order" >/dev/null
sleep 0.3
say "after it was cleared: $(platform_request 3-1 /order/crash -X POST \
    -d 'size=7')"
wait
