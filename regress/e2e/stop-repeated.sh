# A node that drained ended at once, with all requests in progress, when it was
# told a second time to stop.
. regress/e2e/lib.sh
. regress/stand/platform.sh

# Sends 12 requests through NODE, and while they run makes it drain by the COMMANDs,
# 0.2 s apart.
stop_while_requests_run() { # NAME NODE COMMAND...
	local name=$1 node=$2 i command
	shift 2
	for i in $(seq 12); do
		curl -s -m 8 -o /dev/null -w '%{http_code}\n' -X POST \
		    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: $name.$i" \
		    "http://127.$FLEET_NET.${node%-*}.${node#*-}:8000/mould/1" \
		    >>"$FLEET_DIR/$name.answers" &
	done
	fleet_until 40 all_run "$name" || die "not all run"
	for command in "$@"; do
		$command "$node"
		sleep 0.2
	done
	fleet_until 160 all_ended "$name" || die "not all have ended"
	grep -v '^200$' "$FLEET_DIR/$name.answers" >&2
	say "$name: whole answers: $(grep -c '^200$' "$FLEET_DIR/$name.answers") of 12"
	fleet_until 160 fleet_is_gone "$node" || die "$node does not stop"
	grep -o '"event":"stopped","outcome":"[a-z]*"' \
	    "$FLEET_DIR/$node.log" | tail -n 1
	fleet_start_node ${node%-*} ${node#*-}
	fleet_until 200 platform_served_by "$node" /mould/1 w ||
	    die "$node does not serve again"
}

all_run() { # NAME
	[ "$(platform_copies_since "$1" 0)" -ge 12 ]
}

all_ended() { # NAME
	[ "$(wc -l <"$FLEET_DIR/$1.answers")" -ge 12 ]
}

term() { fleet_kill "$1" TERM; }
int() { fleet_kill "$1" INT; }
hup() { fleet_kill "$1" HUP; }
drain() {
	curl -sf -m 3 -X POST -o /dev/null \
	    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8100/drain"
}
touch_settings() { touch "$FLEET_DIR/$1.json"; }

PLATFORM_WORKER_OPTIONS="--slots 16 --work-ms 1200"
platform_start_two_workers
platform_document 6 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/mould/", "type": "unsafe", "timeout_s": 5,
 "target_latency_s": 3, "priority": 0, "service": "kiln", "attempts": 1}' |
    platform_put_document
fleet_until 200 platform_served_by 3-1 /mould/1 w || die "not served"
stop_while_requests_run twice 3-1 term term
stop_while_requests_run again 3-1 term int term term
stop_while_requests_run drained 3-1 drain term
stop_while_requests_run told 3-1 term drain term
stop_while_requests_run reloaded 3-1 hup term hup touch_settings term hup
