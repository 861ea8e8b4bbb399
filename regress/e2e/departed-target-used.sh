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
platform_check_left_after_restart "$left"
touch "$FLEET_DIR/stop"
wait
