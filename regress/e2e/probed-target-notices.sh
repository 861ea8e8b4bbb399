# A target without heartbeats that named a limit, or said that it leaves, got
# requests all the same.
. regress/e2e/lib.sh
E2E_TARGET="archive-kiln kiln 8 130"
e2e_start 2 1
e2e_submit <<'EOF'
{"services": {"archive-kiln": {}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/kiln": {"service": "archive-kiln", "endpoint_set": "kiln"}}}
EOF
all_ready() {
	[ "$(fleet_get http://127.$FLEET_NET.1.1:8100/members |
	    grep -o '"state":"ready"' | wc -l)" = 2 ]
}
fleet_until 400 all_ready || die "not all members are ready"

# Sends N requests to node 1-2 and prints how many were answered.
send() { # N
	local i
	for i in $(seq "$1"); do
		e2e_is_served 1-2 /kiln && echo answered
	done | wc -l
}

ran() {
	e2e_target_stat 1-1 ran
}

is_used() {
	local before
	before=$(ran)
	send 10 >/dev/null
	[ "$(ran)" -gt "$before" ]
}

fleet_until 100 is_used || die "1-1 is not used"
e2e_control_target 1-1 limit=2
fleet_until 100 is_used || die "1-1 is not used"
before=$(ran) began=$SECONDS
say "answered while 1-1 is limited: $(send 150)"
# 2 a second, and what may be saved up.
[ $(($(ran) - before)) -le $(((SECONDS - began + 1) * 2 + 2)) ] &&
    say "within the limit" || say "$(($(ran) - before)) requests"
e2e_control_target 1-1 limit=none
is_used_fully() {
	local before
	before=$(ran)
	send 30 >/dev/null
	[ $(($(ran) - before)) -ge 10 ]
}
fleet_until 100 is_used_fully || die "1-1 is not used after its limit"

e2e_control_target 1-1 leaving=1
is_draining() {
	e2e_has 1-1 state draining
}
fleet_until 100 is_draining || die "1-1 is not draining"
before=$(ran)
say "answered while 1-1 leaves: $(send 30), at 1-1: $(($(ran) - before))"
e2e_control_target 1-1 leaving=0
fleet_until 100 is_used || die "1-1 is not used when it does not leave"
say "used again with the first probe that does not say so"
