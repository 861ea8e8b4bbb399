# A request that crashes its targets was sent again after nodes had restarted, one
# by one or all at once, had stood still, or had been cut off.
FLEET_LINKS=1
. regress/e2e/lib.sh
. regress/stand/platform.sh
all="1-1 1-2 2-1 2-2 3-1 3-2 4-1 4-2"

fleet_start_links || die "the link emulator does not start"
platform_start_eight 60
fleet_kill 2-2 STOP
fleet_fault "from=1&to=4&mode=silence"
fleet_fault "from=2&to=4&mode=silence"
fleet_fault "from=3&to=4&mode=silence"
platform_crash_three crash 3-2 /kiln/crash
fleet_kill 2-2 CONT
fleet_fault mode=none
sleep 3.2
for n in $all; do
	platform_send_copies crash 2 $n /kiln/crash
done
say "stopped after a freeze and a cut: $(platform_is_stopped crash)"

for n in $all; do
	fleet_kill $n
	fleet_start_node ${n%-*} ${n#*-}
	fleet_until 200 platform_is_ready $n || die "$n is not ready again"
	sleep 0.5
	platform_send_copies crash 2 $n /kiln/crash
done
say "stopped after single restarts: $(platform_is_stopped crash)"

platform_restart_all $all
for n in $all; do
	fleet_until 200 platform_is_ready $n || die "$n is not ready again"
done
sleep 3
for n in $all; do
	platform_send_copies crash 2 $n /kiln/crash
done
say "stopped after all restarted at once: $(platform_is_stopped crash)"
say "other work is served: $(platform_request 4-2 /kiln/1 | cut -c 1-3)"
