# Work that is answered all the time was refused for good after it had run beside
# requests that crashed three targets at once.
. regress/e2e/lib.sh
. regress/stand/platform.sh
nodes="1-1 2-1 3-1"

# Sends three copies of a request to each node, whose own target runs most.
send_to_each() { # NAME PATH
	local n i
	for n in $nodes; do
		for i in 1 2 3; do
			platform_send_copies "$1" 1 "$n" "$2" &
		done
	done
}

# Prints the number of workers that crashed while they ran a request NAME.
crashed_under() { # NAME
	cat "$FLEET_DIR"/*.ran | sort -n | awk -v name="$1." '
	    $3 == "ran" && index($4, name) == 1 { began[$2] = $1 }
	    $3 == "crashed" && $2 in began && $1 - began[$2] < 1000000 { n++ }
	    END { print n + 0 }'
}

PLATFORM_WORKER_OPTIONS="--slots 12 --work-ms 300 --restart-ms 1000"
platform_start_fleet 1-1:kiln 2-1:kiln 3-1:kiln 4-1:ops ||
    die "the store does not start"
platform_document 5 kiln | platform_put_document
for n in $nodes 4-1; do
	fleet_until 200 platform_is_ready "$n" || die "$n is not ready"
done
for n in $nodes; do
	fleet_until 200 platform_served_by $n /kiln/1 "w$n" ||
	    die "$n does not use its target"
done
send_to_each answered /kiln/other
sleep 0.4
send_to_each crash /kiln/crash
sleep 0.15
send_to_each other /kiln/other
wait
say "targets that crashed while the lookup ran: $(crashed_under other)"
for n in $nodes; do
	fleet_until 200 platform_served_by $n /kiln/1 w ||
	    die "$n does not serve again"
done
statuses=$(for n in $nodes; do
	platform_request $n /kiln/other | sed 's/ w.*//'
done | sort -u | tr '\n' ' ')
say "the lookup that ran beside: $statuses"
