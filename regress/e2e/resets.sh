# Connections are reset, or fall silent, while requests are sent: between nodes
# under load, and from the caller.  What may have run never runs again unless it
# is idempotent, what was not sent is sent again at once, and the caller learns
# which.
FLEET_LINKS=yes
. regress/e2e/lib.sh
. regress/stand/platform.sh
# Nodes take half of the ratio for their retry budgets.
PLATFORM_BOUNDS="drain_s=2.5 grace_s=6 retry_ratio=0.4"

# Succeeds if a request gets an answer within a second.
is_served() { # D-I
	[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' \
	    -H 'Jacinthdyke-Request-Id: s' \
	    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000/kiln/s")" = 200 ]
}

# Sends a request every 50 ms until the file "stop" exists.
send_steadily() { # D-I
	while [ ! -e "$FLEET_DIR/stop" ]; do
		curl -s -m 1 -o /dev/null -H 'Host: shop.example' \
		    -H 'Jacinthdyke-Request-Id: b' \
		    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000/kiln/b" &
		sleep 0.05
	done
	wait
}

# Sends COUNT requests, eight at a time, and prints a line "ID STATUS" for each.
send_many() { # D-I METHOD PATH PREFIX COUNT
	seq "$5" | xargs -P 8 -I @ curl -s -m 3 -o /dev/null \
	    -w "$4@ %{http_code}\n" -X "$2" \
	    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: $4@" \
	    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000$3"
}

# Resets the connections between the domains after 50 results and after each 100
# more, until the file "stop" exists: far enough apart for a retry budget of 20%,
# however slow the machine is.
reset_until_stopped() { # RESULTS
	local next=50
	while [ ! -e "$FLEET_DIR/stop" ]; do
		if [ "$(wc -l <"$1")" -ge $next ]; then
			fleet_fault "from=1&to=3&mode=reset"
			next=$(($(wc -l <"$1") + 100))
		fi
		sleep 0.02
	done
}

# Sends 400 requests while connections are reset.  The results are in RESULTS.
send_with_resets() { # D-I METHOD PATH PREFIX RESULTS
	: >"$5"
	rm -f "$FLEET_DIR/stop"
	reset_until_stopped "$5" &
	send_many "$1" "$2" "$3" "$4" 400 >>"$5"
	touch "$FLEET_DIR/stop"
	wait $!
}

# Prints the ids that workers ran more than once.
ran_twice() { # PREFIX
	cat "$FLEET_DIR"/*.ran | awk '$3 == "ran" { print $4 }' |
	    grep "^$1" | sort | uniq -d
}

fleet_start_links || die "the links do not start"
# The only targets are in domain 3, and all callers in domain 1.
platform_start_fleet 1-1:ops 1-2:ops 3-1:kiln 3-2:kiln ||
    die "the store does not start"
platform_document 5 kiln | platform_put_document
fleet_until 200 platform_all_ready || die "not ready"
fleet_until 200 is_served 1-1 || die "not served"
fleet_until 200 is_served 1-2 || die "1-2 is not served"

say "# resets between nodes"
send_with_resets 1-1 GET /kiln/1 safe- "$FLEET_DIR/safe"
send_with_resets 1-2 POST /order/1 order- "$FLEET_DIR/orders"
cut -d' ' -f2 "$FLEET_DIR/safe" | sort | uniq -c >&2
say "idempotent requests answered: $(grep -c ' 200$' "$FLEET_DIR/safe") of 400"
say "orders that ran twice: $(ran_twice order- | wc -l)"
grep -E ' (429|503)$' "$FLEET_DIR/orders" | cut -d' ' -f1 | sort \
    >"$FLEET_DIR/not-run"
cat "$FLEET_DIR"/*.ran | awk '$3 == "ran" { print $4 }' | sort -u \
    >"$FLEET_DIR/ran-ids"
say "orders refused as not run that ran:" \
    "$(comm -12 "$FLEET_DIR/not-run" "$FLEET_DIR/ran-ids" | wc -l)"
say "orders without a final status:" \
    "$(grep -c -v -E ' (200|429|502|503|504)$' "$FLEET_DIR/orders")"
fleet_until 40 is_served 1-1 || die "not served after the resets"

say "# silence under steady load"
rm "$FLEET_DIR/stop"
send_steadily 1-1 &
load=$!
sleep 0.5
fleet_fault "from=1&to=3&mode=silence-old"
fleet_fault "from=3&to=1&mode=silence-old"
sleep 0.2
fleet_until 60 is_served 1-1 || die "not served after the silence"
sleep 1
is_served 1-1 || die "not served"
is_served 1-1 || die "not served"
say "new connections replace those that are silent"
touch "$FLEET_DIR/stop"
wait $load

say "# a caller that leaves"
before=$(cat "$FLEET_DIR"/*.ran | grep -c ' ran gone-')
platform_control_worker 3-1 mode=stall
platform_control_worker 3-2 mode=stall
send_and_leave() {
	curl -s -m 0.3 -o /dev/null -H 'Host: shop.example' \
	    -H "Jacinthdyke-Request-Id: gone-$1" -X POST \
	    "http://127.$FLEET_NET.1.1:8000/order/gone"
}
for i in 1 2 3; do
	send_and_leave $i
done
platform_control_worker 3-1 mode=ok
platform_control_worker 3-2 mode=ok
work_ended() {
	[ "$(fleet_sum refused_cancelled_total 1-1)" -ge 3 ]
}
fleet_until 40 work_ended || die "the work was not cancelled"
say "orders sent: $(($(cat "$FLEET_DIR"/*.ran | grep -c ' ran gone-') - before))," \
    "ran twice: $(ran_twice gone- | wc -l)"
