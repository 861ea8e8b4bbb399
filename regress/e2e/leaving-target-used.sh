# A target that says in its answers that it leaves got requests all the same.
. regress/e2e/lib.sh
. regress/stand/platform.sh

platform_start_two_workers
for n in 1-1 3-1 3-2; do
	platform_send_steadily $n /kiln/1 "$FLEET_DIR/$n.answers" &
done

sleep 1
# Its heartbeats still say "ready".
platform_control_worker 1-1 leaving=1
sleep 2
told=$(platform_now)
sleep 2
say "requests to a target that leaves: $(platform_ran_since 1-1 "$told")"
say "requests that were not answered:" \
    "$(cat "$FLEET_DIR"/?-?.answers | grep -c -v '^200$')"
fleet_kill 1-1
fleet_start_node 1 1
platform_check_left_after_restart "$told"
touch "$FLEET_DIR/stop"
wait
