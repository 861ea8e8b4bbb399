# A request that waits for a node that is silent waited until its deadline, though
# the node was known to have restarted, or its target to have been replaced.
FLEET_LINKS=yes
. regress/e2e/lib.sh
. regress/stand/platform.sh

post() { # NAME
	curl -s -m 40 -o /dev/null -w '%{http_code} %{time_total}\n' -X POST \
	    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: $1.1" \
	    "http://127.$FLEET_NET.3.1:8000/mould/1" >"$FLEET_DIR/$1.answer" &
	fleet_until 100 runs "$1" || die "$1 does not run"
}

runs() { # NAME
	[ "$(platform_copies_since "$1" 0)" -ge 1 ]
}

# The open connections between the two regions fall silent; new ones work.
fall_silent() {
	fleet_fault "from=3&to=1&mode=silence-old"
	fleet_fault "from=1&to=3&mode=silence-old"
}

say_end() { # NAME
	fleet_until 300 test -s "$FLEET_DIR/$1.answer" || die "$1 has not ended"
	say "$1: $(awk '{ print $1, $2 < 15 ? "in time" : "after " $2 " s" }' \
	    "$FLEET_DIR/$1.answer")"
}

PLATFORM_WORKER_OPTIONS="--slots 8 --work-ms 300"
fleet_start_links || die "the links do not start"
platform_start_fleet 1-1:kiln 1-2:ops 3-1:ops 3-2:ops ||
    die "the store does not start"
platform_document 5 kiln ', "r-c": {"hostname": "shop.example",
 "path_prefix": "/mould/", "type": "unsafe", "timeout_s": 30,
 "target_latency_s": 3, "priority": 0, "service": "kiln", "attempts": 1}' |
    platform_put_document
fleet_until 200 platform_all_ready || die "not ready"
fleet_until 200 platform_served_by 3-1 /mould/1 w1-1 || die "not served"
platform_control_worker 1-1 mode=stall

post restarted
fall_silent
fleet_kill 1-1
fleet_start_node 1 1
say_end restarted
platform_control_worker 1-1 mode=ok
fleet_until 200 platform_served_by 3-1 /mould/1 w1-1 || die "not used again"

platform_control_worker 1-1 mode=stall
post replaced
fall_silent
platform_control_worker 1-1 "id=second&say=ready&mode=ok"
say_end replaced
fleet_until 200 platform_served_by 3-1 /mould/1 second || die "second is not used"
say "the next process is used"
