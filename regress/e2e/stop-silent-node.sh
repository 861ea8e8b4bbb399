# A node that was stopped answered 502 for requests at which targets were at work,
# as the node of the targets had stood still for a second.
. regress/e2e/lib.sh
. regress/stand/platform.sh

# Sends COUNT requests at once, each on a connection of its own, through 3-1 and
# records how they end.
send_at_once() { # NAME COUNT PATH METHOD
	local i
	for i in $(seq "$2"); do
		curl -s -m 12 -o /dev/null -w '%{http_code}\n' -X "$4" \
		    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: $1.$i" \
		    "http://127.$FLEET_NET.3.1:8000$3" >>"$FLEET_DIR/$1.answers" &
	done
}

all_run() { # NAME COUNT
	[ "$(platform_copies_since "$1" 0)" -ge "$2" ]
}

all_ended() { # NAME COUNT
	[ "$(wc -l <"$FLEET_DIR/$1.answers")" -ge "$2" ]
}

# Has the node 1-1 stand still for SECONDS while targets work on the requests.
pause_target_node() { # NAME SECONDS [PATH METHOD]
	send_at_once "$1" 16 "${3:-/mould/1}" "${4:-POST}"
	fleet_until 40 all_run "$1" 16 || die "not all run"
	fleet_kill 1-1 STOP
	sleep "$2"
	fleet_kill 1-1 CONT
	fleet_until 300 all_ended "$1" 16 || die "not all have ended"
	say "$1: whole answers: $(grep -c '^200$' "$FLEET_DIR/$1.answers") of 16," \
	    "ran: $(platform_copies_since "$1" 0)"
}

PLATFORM_WORKER_OPTIONS="--slots 16 --work-ms 1300"
platform_start_two_workers
platform_document 6 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/mould/", "type": "unsafe", "timeout_s": 8,
 "target_latency_s": 3, "priority": 0, "service": "kiln", "attempts": 1},
 "r-d": {"hostname": "shop.example", "path_prefix": "/look/", "type": "safe",
 "timeout_s": 8, "target_latency_s": 3, "priority": 2, "service": "kiln",
 "attempts": 1}' |
    platform_put_document
fleet_until 200 platform_served_by 3-1 /mould/1 w1-1 || die "1-1 is not used"
fleet_until 200 platform_served_by 3-1 /mould/1 w1-2 || die "1-2 is not used"

pause_target_node running 1.5
# Other nodes count it as lost by then, and it them.
pause_target_node longer 4.5
fleet_until 200 platform_served_by 3-1 /mould/1 w1-1 || die "1-1 is not used again"
fleet_kill 3-1 TERM
pause_target_node stopping 1.5
fleet_until 120 fleet_is_gone 3-1 || die "3-1 does not stop"
say "the node is gone"

# May run again, but the route allows one attempt: it is not given up either.
fleet_start_node 3 1
fleet_until 200 platform_served_by 3-1 /look/1 w1-1 || die "1-1 is not used again"
fleet_kill 3-1 TERM
pause_target_node looking 1.5 /look/2 GET
fleet_until 120 fleet_is_gone 3-1 || die "3-1 does not stop"
say "the node is gone"
