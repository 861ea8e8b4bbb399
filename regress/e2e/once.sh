# A keyed order runs at most once: through two nodes at once, after a lost
# answer of the target, with the log down, and after its node was killed.
. regress/e2e/lib.sh
E2E_TARGET="greidslur pay 6 120"
e2e_start 2 1
e2e_submit <<'EOF'
{"services": {"greidslur": {"policy": "order"}},
 "policies": {"order": {"priority": 0, "once": true, "deadline_ms": 4000}},
 "endpoint_sets": {"pay": {"service": "greidslur"}},
 "routes": {"/charge": {"service": "greidslur", "endpoint_set": "pay"}}}
EOF
fleet_until 400 e2e_answers 1-1 /charge || die "no target"
fleet_until 400 e2e_answers 1-2 /charge || die "no target"
ran() { # KEY
	local a b
	a=$(e2e_ran 1-1 "$1")
	b=$(e2e_ran 1-2 "$1")
	echo "$1 ran $((${a:-0} + ${b:-0})) times"
}
say "without a key: $(e2e_request 1-1 /charge -X POST)"
say "with a key: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k1')"
say "again: $(e2e_request 1-2 /charge -X POST -H 'idempotency-key: k1')"
say "and again: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k1')"
ran k1

for i in 1 2 3 4 5 6 7 8; do
	curl -s -o /dev/null -w '%{http_code}\n' -X POST \
	    -H 'idempotency-key: k2' "http://127.$FLEET_NET.1.$((i % 2 + 1)):8000/charge" \
	    >>"$FLEET_DIR/codes" &
done
all_answered() {
	[ "$(wc -l <"$FLEET_DIR/codes")" = 8 ]
}
fleet_until 400 all_answered
say "eight at once: $(sort "$FLEET_DIR/codes" | uniq -c | tr -s ' \n' ' ')"
ran k2

# The target runs the work but its answer is lost.
e2e_target 1-1 mode=stall
e2e_target 1-2 mode=stall
say "answer lost: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k3' \
    -H 'x-timeout-ms: 500')"
e2e_target 1-1 mode=up
e2e_target 1-2 mode=up
say "tried again: $(e2e_request 1-2 /charge -X POST -H 'idempotency-key: k3')"
ran k3

# The log is down: nothing runs, and the caller is told so at once.
curl -s "http://$FLEET_LOG/control?mode=down" >/dev/null
say "log down: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k4')"
curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
ran k4
say "log up: $(e2e_request 1-1 /charge -X POST -H 'idempotency-key: k4')"
ran k4

# The answer of the log is lost after the append: settled by reading.
curl -s "http://$FLEET_LOG/control?mode=lose-answers" >/dev/null
say "claim's answer lost: $(e2e_request 1-1 /charge -X POST \
    -H 'idempotency-key: k5')"
curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
ran k5

# A node is killed after its work was sent; another node knows the claim.
e2e_target 1-1 mode=stall
e2e_target 1-2 mode=stall
curl -s -o /dev/null -m 10 -X POST -H 'idempotency-key: k6' \
    http://127.$FLEET_NET.1.1:8000/charge &
ran_k6() {
	[ "$(e2e_ran 1-1 k6)$(e2e_ran 1-2 k6)" = 1 ]
}
fleet_until 400 ran_k6 || die "k6 was not sent"
fleet_kill 1-1
e2e_target 1-1 mode=up
e2e_target 1-2 mode=up
fleet_start_node 1 1
fleet_until 400 e2e_answers 1-1 /charge || die "the node is not back"
say "after the kill: $(e2e_request 1-1 /charge -X POST \
    -H 'idempotency-key: k6')"
ran k6
