# An order was refused because it had run beside a request that crashes its target.
. regress/e2e/lib.sh
. regress/stand/platform.sh

has_crashed() { # COUNT
	[ "$(cat "$FLEET_DIR"/*.ran | grep -c ' crashed ')" -ge "$1" ]
}

PLATFORM_WORKER_OPTIONS="--slots 6 --work-ms 200 --restart-ms 500"
platform_start_fleet 1-1:kiln 1-2:ops 3-1:ops 3-2:ops ||
    die "the store does not start"
platform_document 5 kiln | platform_put_document
fleet_until 200 platform_all_ready || die "not ready"
for round in 1 2 3; do
	fleet_until 200 platform_served_by 3-1 /kiln/1 w1-1 ||
	    die "1-1 is not used in round $round"
	platform_send_copies crash 1 3-1 /order/crash -X POST -d 'size=7' &
	sleep 0.1
	platform_send_copies beside 1 3-1 /order/beside -X POST -d 'size=7'
	fleet_until 100 has_crashed $round || die "no crash in round $round"
	wait
done
fleet_until 200 platform_served_by 3-1 /kiln/1 w1-1 || die "1-1 is not used"
say "crashing order: $(platform_request 3-1 /order/crash -X POST -d 'size=7')"
say "order beside it: $(platform_request 3-1 /order/beside -X POST \
    -d 'size=7' | sed 's/ w.*//')"
