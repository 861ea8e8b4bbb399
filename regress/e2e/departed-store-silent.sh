# A target that had left got requests again when all nodes had been killed while
# the store was silent, until its node had read what the store had kept.
. regress/e2e/lib.sh
. regress/stand/platform.sh

is_acknowledged() {
	grep -q ' leaving ' "$FLEET_DIR/1-1.ran"
}

platform_start_two_workers
platform_control_worker 1-1 leave=1
fleet_until 100 is_acknowledged || die "it is not acknowledged"
platform_control_store silent=1
platform_control_worker 1-1 say=ready
platform_restart_all
sleep 4
since=$(platform_now)
platform_send_steadily 1-1 /kiln/1 "$FLEET_DIR/statuses" &
sleep 0.3
platform_control_store silent=0
fleet_until 200 platform_all_ready || die "not ready again"
sleep 4
touch "$FLEET_DIR/stop"
wait
say "requests to it when the store was back: $(platform_ran_since 1-1 "$since")"
[ "$(grep -c '^200$' "$FLEET_DIR/statuses")" -gt 50 ] || say "few were served"
platform_control_worker 1-1 id=next
fleet_until 200 platform_served_by 1-1 /kiln/1 next ||
    die "the next process is not used"
say "the next process is used"
