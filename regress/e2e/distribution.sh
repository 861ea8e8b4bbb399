# Guards the distribution of versions.  Nodes must replace a parent that was
# killed, frozen or partitioned, or whose connection drops all data; no version
# may ever decrease; and a node that starts must refuse requests until it is
# ready.
. regress/e2e/lib.sh
FLEET_LINKS=yes
E2E_TARGET=
fleet_start_links || die "the link emulator did not start"
e2e_start 3 1 2 3 4
ALL="1-1 1-2 1-3 2-1 2-2 2-3 3-1 3-2 3-3 4-1 4-2 4-3"
submit_patch() {
	e2e_submit <<EOF >/dev/null || die "the patch was not accepted"
{"policies": {"p": {"deadline_ms": $((1000 + VERSION))}}}
EOF
}
# Prints the root of the tree.
find_root() {
	fleet_ctl --json --node $E2E_ADMIN status |
	    sed 's/.*"root_admin":"127\.[0-9]*\.\([0-9]*\)\.\([0-9]*\):.*/\1-\2/'
}
# Waits until the given nodes, default all, hold the newest version.
wait_applied() { # D-I...
	local n
	for n in ${*:-$ALL}; do
		fleet_until 200 e2e_has "$n" version $VERSION ||
		    die "$n lacks version $VERSION"
	done
	say "version $VERSION applied"
}
# Checks that the versions that each node applied never decrease.
check_monotonic() {
	local n
	for n in $ALL; do
		fleet_get "http://127.$FLEET_NET.${n%-*}.${n#*-}:8100/applied" |
		    grep -o '\[[0-9]*,' | tr -d '[,' >"$FLEET_DIR/versions"
		sort -n -c "$FLEET_DIR/versions" || die "the version of $n decreased"
	done
	say "no version decreased"
}
all_except() { # D-I
	local n
	for n in $ALL; do
		[ "$n" = "$1" ] || echo "$n"
	done
}
submit_patch
wait_applied

root=$(find_root)
say "root frozen"
fleet_kill "$root" STOP
submit_patch
wait_applied $(all_except "$root")
fleet_kill "$root" CONT
wait_applied
check_monotonic

root=$(find_root)
say "root killed"
fleet_kill "$root"
submit_patch
wait_applied $(all_except "$root")
fleet_start_node "${root%-*}" "${root#*-}"
wait_applied

say "regions partitioned"
fault_between_regions cut both
submit_patch
wait_applied 1-1 1-2 1-3 2-1 2-2 2-3
fleet_fault "mode=none"
wait_applied
check_monotonic

say "data from region 1 to region 2 dropped, other direction works"
fault_between_regions silence
submit_patch
wait_applied 1-1 1-2 1-3 2-1 2-2 2-3
fleet_fault "mode=none"
wait_applied
check_monotonic

say "open connections between the regions drop all data"
fault_between_regions silence-old both
submit_patch
wait_applied
fleet_fault "mode=none"

say "data between the regions truncated, then duplicated"
for mode in truncate duplicate; do
	fault_between_regions $mode both
	submit_patch
	wait_applied
done
fleet_fault "mode=none"

say "failure domain killed and restarted while the log is down"
for i in 1 2 3; do fleet_kill 2-$i; done
curl -s "http://$FLEET_LOG/control?mode=down" >/dev/null
for i in 1 2 3; do fleet_start_node 2 $i; done
fleet_until 400 e2e_has 2-1 node penang-1 || die "2-1 did not start"
say "request to a node without a version: $(e2e_request 2-1 /any)"
curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
wait_applied
all_ready() {
	local n
	for n in $ALL; do
		e2e_has "$n" ready true || return 1
	done
}
fleet_until 400 all_ready && say "all nodes ready"
check_monotonic

say "log down: nodes keep their version"
curl -s "http://$FLEET_LOG/control?mode=down" >/dev/null
fleet_kill 4-1
is_stale() {
	[ "$(e2e_status 4-2 source_age_ms)" -gt 3000 ]
}
fleet_until 400 is_stale && say "source_age_ms exceeds 3000"
wait_applied $(all_except 4-1)
curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
submit_patch
fleet_start_node 4 1
wait_applied
