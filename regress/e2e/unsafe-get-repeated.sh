# Requests of a route that may not be repeated ran at two targets, when their
# answers were lost or late, because their method was GET, HEAD or OPTIONS.
. regress/e2e/lib.sh
. regress/stand/platform.sh

# Sends 8 requests of each method to a path, all at the same time, and writes a
# line "ID STATUS" for each.
send_all_methods() { # PREFIX PATH
	local m i
	for m in GET HEAD OPTIONS POST; do
		for i in 1 2 3 4 5 6 7 8; do
			curl -s -m 5 -o /dev/null -w "$1-$m-$i %{http_code}\n" \
			    -X "$m" $([ $m != HEAD ] || echo --head) \
			    -H 'Host: shop.example' \
			    -H "Jacinthdyke-Request-Id: $1-$m-$i" \
			    "http://127.$FLEET_NET.3.1:8000$2" &
		done
		wait
	done >"$FLEET_DIR/$1.answers"
}

# Prints how many requests ran at all, and how many ran more than once.
count_runs() { # PREFIX
	cat "$FLEET_DIR"/*.ran | awk '$3 == "ran" { print $4 }' | grep "^$1-" |
	    sort | uniq -c | awk '{ ran++; twice += $1 > 1 }
	    END { print "ran: " ran + 0 ", more than once: " twice + 0 }'
}

platform_start_two_workers
platform_document 6 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/book/", "type": "unsafe", "timeout_s": 1.5,
 "target_latency_s": 0.4, "priority": 0, "service": "kiln", "attempts": 2}' |
    platform_put_document
fleet_until 200 platform_served_by 3-1 /book/1 w || die "no new version"

for mode in lose stall; do
	say "# answers of one of two workers: $mode"
	platform_control_worker 1-1 mode=$mode
	send_all_methods "unsafe-$mode" /book/1
	say "unsafe requests that $(count_runs "unsafe-$mode")"
	platform_control_worker 1-1 mode=ok
	sleep 1
done
say "# idempotent requests, of every method"
platform_control_worker 1-1 mode=lose
send_all_methods safe /kiln/1
say "answered: $(grep -c ' 200$' "$FLEET_DIR/safe.answers") of 32"
