# A target that had said that it leaves got requests again after all nodes had been
# killed at once and its node heard a heartbeat that had been sent before.
. regress/e2e/lib.sh
. regress/stand/platform.sh

# Prints whether the record of 1-1 says that its leaving was acknowledged.
is_acknowledged() { # COUNT
	[ "$(grep -c ' leaving ' "$FLEET_DIR/1-1.ran")" -ge "$1" ]
}

# All nodes are killed right after the acknowledgement; afterwards the node of
# 1-1 hears that it is ready.
leave_and_lose_power() { # WAY COUNT
	local i
	platform_control_worker 1-1 "$1"
	fleet_until 100 is_acknowledged "$2" || die "$1 is not acknowledged"
	platform_control_worker 1-1 say=ready
	platform_restart_all
	fleet_until 200 platform_served_by 3-1 /kiln/1 w1-2 ||
	    die "1-2 is not used"
	sleep 1
	since=$(platform_now)
	for i in $(seq 60); do
		platform_request 3-1 /kiln/1 >/dev/null
		platform_request 1-1 /kiln/1 >/dev/null
	done
	say "$1: requests to it after all nodes were killed:" \
	    "$(platform_ran_since 1-1 "$since")"
	platform_control_worker 1-1 id=next-$2
	fleet_until 200 platform_served_by 3-1 /kiln/1 next-$2 ||
	    die "next-$2 is not used"
	say "the next process is used"
}

platform_start_two_workers
leave_and_lose_power leave=1 1
leave_and_lose_power say=draining 2

# The departure is the first thing that the node hears of the process.
platform_control_worker 1-1 say=nothing
platform_restart_all
fleet_until 200 platform_all_ready || die "not ready again"
leave_and_lose_power leave=1 3

# The store is away: the departure is not acknowledged before it is kept.
platform_control_store down=1
platform_control_worker 1-1 say=draining
sleep 1.5
is_acknowledged 4 && say "acknowledged while the store is away" ||
    say "not acknowledged while the store is away"
platform_control_store down=0
fleet_until 100 is_acknowledged 4 || die "not acknowledged"
say "acknowledged when it is back"

# Nor does that hold up the acknowledgements of the next process.
platform_control_store down=1
platform_control_worker 1-1 leave=1
sleep 1
platform_control_worker 1-1 say=ready
platform_control_worker 1-1 id=last
fleet_until 30 platform_served_by 3-1 /kiln/1 last || die "last is not used"
acked=$(fleet_get "http://127.$FLEET_NET.1.1:9000/-/stats" |
    sed 's/.*"acknowledged":\([0-9]*\).*/\1/')
sleep 1.5
say "the next process is acknowledged meanwhile:" \
    "$([ "$(fleet_get "http://127.$FLEET_NET.1.1:9000/-/stats" |
	sed 's/.*"acknowledged":\([0-9]*\).*/\1/')" -gt "$acked" ] && echo yes || echo no)"
platform_control_store down=0
platform_departures() {
	fleet_get "http://$FLEET_LOG/log-newest?topic=keyed.departures&part=0" |
	    grep -c "\"key\":\"${FLEET_DOMAINS[1]}-1\""
}
has_no_departure() {
	[ "$(platform_departures)" = 0 ]
}
fleet_until 100 has_no_departure || die "the record of a departure stays"
say "nothing is kept of a process that has been replaced"
