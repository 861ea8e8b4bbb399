# A target that names a rate limit got more than that from all nodes together.
. regress/e2e/lib.sh
. regress/stand/platform.sh

PLATFORM_WORKER_OPTIONS="--slots 100 --work-ms 350"
platform_start_two_workers
for n in 3-1 3-2; do
	platform_send_steadily $n /kiln/1 "$FLEET_DIR/$n.answers" &
done

# Of RATE requests a second, 1.5 times as many may come, and 5 more.
is_within() { # RATE FROM
	local most allowed
	most=$(platform_most_in_4s 1-1 "$2")
	allowed=$(awk -v rate="$1" 'BEGIN { print int(rate * 6 + 5) }')
	if [ "$most" -le "$allowed" ]; then
		echo yes
	else
		echo "no, $most of $allowed"
	fi
}

has_ran_since() { # COUNT FROM
	[ "$(platform_ran_since 1-1 "$2")" -ge "$1" ]
}

sleep 2
platform_control_worker 1-1 limit=4.5
sleep 1
named=$(platform_now)
sleep 6
say "within the limit: $(is_within 4.5 "$named")"
say "the target is still used:" \
    "$(has_ran_since 12 "$named" && echo yes || echo no)"
say "requests that were not answered:" \
    "$(cat "$FLEET_DIR"/3-?.answers | grep -c -v '^200$')"

platform_control_worker 1-1 limit=1
sleep 1.5
lowered=$(platform_now)
sleep 4
say "within a lower limit: $(is_within 1 "$lowered")"
platform_control_worker 1-1 mode=error
sleep 3
platform_control_worker 1-1 mode=ok
say "within it while errors do not name it: $(is_within 1 "$lowered")"

# Its node is killed and started again: it must learn the limit before the
# target gets as many requests as it has slots.
restarted=$(platform_now)
fleet_kill 1-1
fleet_start_node 1 1
fleet_until 200 platform_is_ready 1-1 || die "1-1 is not ready again"
sleep 5
say "within the limit after a restart: $(is_within 1 "$restarted")"

lifted=$(platform_now)
platform_control_worker 1-1 limit=none
fleet_until 200 has_ran_since 60 "$lifted" || die "1-1 is not used any more"
say "used again after the limit was lifted"
touch "$FLEET_DIR/stop"
wait
