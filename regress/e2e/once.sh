# At-most-once execution.  A request with an idempotency key must not run twice
# when it is sent through two nodes at the same time, when the answer of the
# target or of the log is lost, while the log is down, or after the node that
# forwarded it was killed.
. regress/e2e/lib.sh
E2E_TARGET="greidslur pay 6 120"
e2e_start 2 1
e2e_submit <<'EOF'
{"services": {"greidslur": {"policy": "order"}},
 "policies": {"order": {"priority": 0, "once": true, "deadline_ms": 4000}},
 "endpoint_sets": {"pay": {"service": "greidslur"}},
 "routes": {"/charge": {"service": "greidslur", "endpoint_set": "pay"}}}
EOF
fleet_until 400 e2e_is_served 1-1 /charge || die "/charge is not served"
fleet_until 400 e2e_is_served 1-2 /charge || die "/charge is not served"
print_runs() { # KEY
	local a b
	a=$(e2e_target_stat 1-1 "$1")
	b=$(e2e_target_stat 1-2 "$1")
	echo "$1 ran $((${a:-0} + ${b:-0})) times"
}
say "without a key: $(e2e_request 1-1 /charge -X POST)"
say "with a key: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k1')"
say "same key, other node: $(e2e_request 1-2 /charge -X POST \
    -H 'idempotency-key: k1')"
say "same key, same node: $(e2e_request 1-1 /charge -X POST \
    -H 'idempotency-key: k1')"
print_runs k1

# Of eight concurrent requests with one key, one runs and the others are refused.
for i in 1 2 3 4 5 6 7 8; do
	curl -s -o /dev/null -w '%{http_code}\n' -X POST \
	    -H 'idempotency-key: k2' "http://127.$FLEET_NET.1.$((i % 2 + 1)):8000/charge" \
	    >>"$FLEET_DIR/codes" &
done
all_answered() {
	[ "$(wc -l <"$FLEET_DIR/codes")" = 8 ]
}
fleet_until 400 all_answered
say "eight concurrent requests: $(sort "$FLEET_DIR/codes" | uniq -c | tr -s ' \n' ' ')"
print_runs k2

# The target runs the request but does not answer before the deadline.
e2e_control_target 1-1 mode=stall
e2e_control_target 1-2 mode=stall
say "target does not answer: $(e2e_request 1-1 /charge -X POST \
    -H 'idempotency-key: k3' -H 'x-timeout-ms: 500')"
e2e_control_target 1-1 mode=up
e2e_control_target 1-2 mode=up
say "retried: $(e2e_request 1-2 /charge -X POST -H 'idempotency-key: k3')"
print_runs k3

# The log is down, so no claim can be appended: the request is refused at once.
curl -s "http://$FLEET_LOG/control?mode=down" >/dev/null
say "log down: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k4')"
curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
print_runs k4
say "log up: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k4')"
print_runs k4

# The answer to the append of the claim is lost: the node reads the log to learn
# the result.
curl -s "http://$FLEET_LOG/control?mode=lose-answers" >/dev/null
say "answer to the claim lost: $(e2e_request 1-1 /charge -X POST \
    -H 'idempotency-key: k5')"
curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
print_runs k5

# The node is killed after it sent the request to its target.  The claim on the
# log still refuses a retry.
e2e_control_target 1-1 mode=stall
e2e_control_target 1-2 mode=stall
curl -s -o /dev/null -m 10 -X POST -H 'idempotency-key: k6' \
    http://127.$FLEET_NET.1.1:8000/charge &
has_run_k6() {
	[ "$(e2e_target_stat 1-1 k6)$(e2e_target_stat 1-2 k6)" = 1 ]
}
fleet_until 400 has_run_k6 || die "k6 did not run"
fleet_kill 1-1
e2e_control_target 1-1 mode=up
e2e_control_target 1-2 mode=up
fleet_start_node 1 1
fleet_until 400 e2e_is_served 1-1 /charge ||
    die "1-1 does not serve /charge after its restart"
say "after a kill of the node: $(e2e_request 1-1 /charge -X POST \
    -H 'idempotency-key: k6')"
print_runs k6
