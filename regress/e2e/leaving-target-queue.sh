# A target that leaves got, seconds later, what had waited for it at its node: in
# the queue for a slot, or for a connection.
. regress/e2e/lib.sh
. regress/stand/platform.sh

# Prints how many requests whose ids begin with NAME began to run at 1-1 later
# than 100 ms after the node knew that it leaves.
count_late_starts() { # NAME SINCE
	platform_ran_since 1-1 $(($2 + 100000)) "^$1-"
}

# Prints when the node of 1-1 knew that it leaves: when it had acknowledged that,
# or when the first answer that says so was given, after the time SINCE.
told_at() { # WAY SINCE
	case $1 in
	leaving=1) echo $(($2 + WORK_MS * 1000)) ;;
	*) awk -v t="$2" '$3 == "leaving" && $1 > t { print $1; exit }' \
	    "$FLEET_DIR/1-1.ran" ;;
	esac
}

# 14 requests at once, for four slots in all; 1-1 leaves while they wait.
leave_while_requests_wait() { # NAME WAY
	local i since
	for i in $(seq 14); do
		curl -s -m 8 -o /dev/null -w '%{http_code}\n' -X POST \
		    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: $1-$i" \
		    "http://127.$FLEET_NET.3.1:8000/batch/1" \
		    >>"$FLEET_DIR/$1.answers" &
	done
	sleep 0.3
	since=$(platform_now)
	platform_control_worker 1-1 "$2"
	while [ "$(wc -l <"$FLEET_DIR/$1.answers")" -lt 14 ]; do
		sleep 0.1
	done
	say "$2: sent to it later: $(count_late_starts "$1" "$(told_at "$2" "$since")")," \
	    "answered: $(grep -c '^200$' "$FLEET_DIR/$1.answers") of 14"
}

# Another process takes the place of the one that left.
replace() { # ID
	platform_control_worker 1-1 leaving=0
	platform_control_worker 1-1 say=ready
	platform_control_worker 1-1 id=$1
	fleet_until 200 platform_served_by 3-1 /batch/1 $1 || die "$1 is not used"
}

WORK_MS=600
PLATFORM_WORKER_OPTIONS="--slots 2 --work-ms $WORK_MS"
platform_start_two_workers
platform_document 6 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/batch/", "type": "unsafe", "timeout_s": 6,
 "target_latency_s": 5, "priority": 0, "service": "kiln", "attempts": 2}' |
    platform_put_document
fleet_until 200 platform_served_by 3-1 /batch/1 w1-1 || die "no new version"

leave_while_requests_wait drain say=draining
replace second
leave_while_requests_wait notice leaving=1
replace third
leave_while_requests_wait left leave=1
replace fourth

# Its node may open one connection for two slots: a request waits for it.
sed -i 's|"target": {|&"slots": 1, "connections": 1, |' "$FLEET_DIR/1-1.json"
fleet_kill 1-1
fleet_start_node 1 1
fleet_until 200 platform_is_ready 1-1 || die "1-1 is not ready again"
fleet_until 200 platform_served_by 3-1 /batch/1 fourth || die "fourth is not used"
leave_while_requests_wait connection say=draining
