# Work that is answered all the time was refused for good after it had run beside
# requests that crashed three targets at once.
. regress/e2e/lib.sh
. regress/stand/platform.sh
nodes="1-1 2-1 3-1"

all_serve() {
	local n
	for n in $nodes; do
		platform_served_by $n /kiln/1 "w$n" || return 1
	done
}

# Sends a request that crashes targets to each node at the same moment: a copy of
# the lookup that is answered between two crashes would clear the first.
crash_all_at_once() { # ROUND
	local round=$1 n
	set --
	for n in $nodes; do
		set -- "$@" --next -s -m 5 -o /dev/null -H 'Host: shop.example' \
		    -H "Jacinthdyke-Request-Id: crash.$round-$n" \
		    "http://127.$FLEET_NET.${n%-*}.${n#*-}:8000/kiln/crash-$round"
	done
	shift
	curl -Z "$@"
}

# Tells whether targets have crashed COUNT times while they ran the lookup.
have_crashed_beside() { # COUNT
	[ "$(cat "$FLEET_DIR"/*.ran | sort -n | awk '
	    $3 == "ran" && $4 ~ /^[123]-1[.]/ { began[$2] = $1 }
	    $3 == "crashed" && $2 in began && $1 - began[$2] < 1000000 { n++ }
	    END { print n + 0 }')" -ge "$1" ]
}

PLATFORM_WORKER_OPTIONS="--slots 12 --work-ms 100 --restart-ms 1000"
platform_start_fleet 1-1:kiln 2-1:kiln 3-1:kiln 4-1:ops ||
    die "the store does not start"
platform_document 5 kiln | platform_put_document
for round in 1 2 3; do
	fleet_until 400 all_serve || die "the targets do not serve in round $round"
	rm -f "$FLEET_DIR/stop"
	for n in $nodes; do
		platform_send_steadily $n /kiln/other "$FLEET_DIR/$n.answers" &
	done
	sleep 0.5
	crash_all_at_once $round &
	fleet_until 200 have_crashed_beside $((3 * round)) ||
	    die "a target did not crash while it ran the lookup in round $round"
	touch "$FLEET_DIR/stop"
	wait
done
fleet_until 400 all_serve || die "the targets do not serve again"
statuses=$(for n in $nodes; do
	platform_request $n /kiln/other | sed 's/ w.*//'
done | sort -u | tr '\n' ' ')
say "the lookup that ran beside: $statuses"
