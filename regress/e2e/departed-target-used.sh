# A target that had deregistered got requests again after its node had restarted
# and heard a late heartbeat of it.
. regress/e2e/lib.sh
. regress/stand/platform.sh

platform_start_two_workers
for n in 1-1 3-1; do
	platform_send_steadily $n /kiln/1 "$FLEET_DIR/$n.answers" &
done

platform_control_worker 1-1 leave=1
sleep 1
left=$(platform_now)
fleet_kill 1-1
platform_control_worker 1-1 say=ready
fleet_start_node 1 1
fleet_until 200 platform_is_ready 1-1 || die "1-1 is not ready again"
# A node that has just started learns from others what it had been told.
sleep 1
learnt=$(platform_now)
sleep 2
say "requests to it after a restart of its node, of other nodes:" \
    "$(platform_ran_since 1-1 "$left" '^3-')"
say "of that node's own callers, a second later:" \
    "$(platform_ran_since 1-1 "$learnt")"
platform_control_worker 1-1 id=second
fleet_until 100 platform_served_by 3-1 /kiln/1 second || die "second is not used"
say "the next process is used"
touch "$FLEET_DIR/stop"
wait
