# A request that crashes its targets was sent again when the nodes beside them had
# been killed before they could tell.
. regress/e2e/lib.sh
. regress/stand/platform.sh

# Prints D-I of the worker at which a request whose id begins with NAME runs.
ran_at() { # NAME
	grep -l " ran $1[.]" "$FLEET_DIR"/*.ran | sed 's/.*\///; s/\.ran//'
}

is_running() { # NAME
	[ -n "$(ran_at "$1")" ]
}

platform_start_eight 400
for round in 1 2 3; do
	platform_send_copies crash$round 1 3-2 /order/crash -X POST -d 'size=7' &
	fleet_until 100 is_running crash$round || die "round $round does not run"
	n=$(ran_at crash$round)
	fleet_kill "$n"
	sleep 0.6
	fleet_start_node "${n%-*}" "${n#*-}"
	fleet_until 200 platform_is_ready "$n" || die "$n is not ready again"
	wait
	sleep 1.5
done
sleep 2
platform_send_copies later 20 3-2 /order/crash -X POST -d 'size=7'
say "copies that ran after three crashes: $(platform_copies_since later 0)"
say "other work is served: $(platform_request 4-2 /kiln/1 | cut -c 1-3)"
