# A request that crashes its targets was sent again in a region that is cut off from
# the one where they had crashed.
FLEET_LINKS=1
. regress/e2e/lib.sh
. regress/stand/platform.sh

# Tells whether region B has a root of its own.
has_two_roots() {
	[ "$(e2e_status 3-1 root_admin)" != "$(e2e_status 1-1 root_admin)" ] &&
	    [ -n "$(e2e_status 3-1 root_admin)" ]
}

fleet_start_links || die "the link emulator does not start"
platform_start_eight 60
fault_between_regions silence both
fleet_until 200 has_two_roots || die "the regions are not apart"
platform_crash_three crash 1-1 /kiln/crash
sleep 3.2
for n in 3-1 4-1; do
	platform_send_copies crash 4 $n /kiln/crash
done
say "stopped in the other region: $(platform_is_stopped crash)"
fleet_fault mode=none
sleep 3.2
for n in 1-2 2-1 3-1 4-1; do
	platform_send_copies crash 2 $n /kiln/crash
done
say "stopped after the cut: $(platform_is_stopped crash)"
