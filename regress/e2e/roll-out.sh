# A service moves to a new version that is good, then to one that fails: its
# node that decides is killed meanwhile, and a node misses the roll-back.
. regress/e2e/lib.sh
. regress/stand/platform.sh

platform_start_fleet 1-1:kiln 1-2:kiln 3-1:kiln 3-2:kiln ||
    die "the store does not start"
for n in 3-1 3-2; do
	fleet_until 100 platform_control_worker $n "version=v2&id=new-$n" ||
	    die "the worker $n does not listen"
done
platform_document 5 kiln | platform_put_document
platform_order_rollout kiln v2 9
ordered=$(platform_now)
fleet_until 200 platform_all_ready || die "not ready"
fleet_until 200 platform_served_by 1-1 /kiln/1 w || die "not served"
fleet_until 50 platform_rollout_is kiln "v2 running" || die "not running"
for n in 1-1 3-1; do
	platform_send_steadily $n /kiln/1 "$FLEET_DIR/$n.answers" &
done
sleep 3
new=$(($(platform_ran_since 3-1 "$ordered") +
    $(platform_ran_since 3-2 "$ordered")))
all=$(($new + $(platform_ran_since 1-1 "$ordered") +
    $(platform_ran_since 1-2 "$ordered")))
say "running: $([ $((new * 10)) -le $((all + 20)) ] && [ $new -gt 0 ] &&
    echo "a small share" || echo "$new of $all") to the new version"
fleet_until 120 platform_rollout_is kiln "v2 succeeded" ||
    die "no success: $(platform_rollout_state kiln)"
took=$((($(platform_now) - ordered) / 1000000))
say "succeeded before the deadline: $([ $took -lt 9 ] && echo yes || echo $took)"
said=$(platform_now)
sleep 1
say "requests to old targets after that:" $(($(platform_ran_since 1-1 "$said") +
    $(platform_ran_since 1-2 "$said")))
refused=$(cat "$FLEET_DIR"/?-?.answers | grep -c -v '^200$')
say "requests that were not answered: $refused"
[ "$refused" = 0 ] || platform_refusals 1-1 3-1 >&2

say "# a bad version"
for n in 1-1 1-2; do
	platform_control_worker $n "version=v3&mode=error&id=bad-$n"
done
sleep 1
platform_order_rollout kiln v3 12
ordered=$(platform_now)
fleet_until 100 platform_rollout_is kiln "v3 running" || die "v3 not running"
fleet_kill 3-2 STOP
fleet_until 100 platform_rollout_is kiln "v3 rolled_back" ||
    die "not rolled back: $(platform_rollout_state kiln)"
took=$((($(platform_now) - ordered) / 1000000))
said=$(platform_now)
say "rolled back within 6 s: $([ $took -lt 6 ] && echo yes || echo $took)"
new=$(($(platform_ran_since 1-1 "$ordered") +
    $(platform_ran_since 1-2 "$ordered")))
say "bad answers: $([ $new -ge 8 ] && [ $new -lt 50 ] && echo few || echo $new)"
sleep 1
for n in 1-1 1-2 3-1; do
	fleet_kill $n
	fleet_start_node ${n%-*} ${n#*-}
done
fleet_kill 3-2 CONT
for n in 1-1 1-2 3-1; do
	fleet_until 200 platform_is_ready $n || die "$n is not ready again"
done
platform_send_steadily 3-2 /kiln/1 "$FLEET_DIR/3-2.answers" &
sleep 3
touch "$FLEET_DIR/stop"
wait $(jobs -p | tail -3) 2>/dev/null
say "requests to the bad version after all nodes but one restarted and that" \
    "one was frozen: $(($(platform_ran_since 1-1 $((said + 500000))) +
	$(platform_ran_since 1-2 $((said + 500000)))))"
say "callers were answered meanwhile:" \
    "$([ "$(grep -c '^200$' "$FLEET_DIR/3-2.answers")" -ge 20 ] &&
	echo yes || echo no)"
