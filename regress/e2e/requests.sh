# Requests: answers of their own, refusals with reasons, targets that fail,
# limits, deadlines, callers that leave.
. regress/e2e/lib.sh
E2E_TARGET="archive-kiln kiln 2 130"
FLEET_EXTRA='"drain": {"linger_ms": 300},'
e2e_start 2 1 3
say "before a route: $(e2e_request 1-1 /kiln)"
e2e_submit <<'EOF'
{"services": {"archive-kiln": {}},
 "policies": {"short": {"deadline_ms": 700, "retry_percent": 100}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"},
                   "empty": {"service": "archive-kiln"}},
 "routes": {"/kiln": {"service": "archive-kiln", "endpoint_set": "kiln"},
   "/short": {"service": "archive-kiln", "endpoint_set": "kiln",
              "policy": "short"},
   "/empty": {"service": "archive-kiln", "endpoint_set": "empty"}}}
EOF
ready() {
	[ "$(fleet_get http://127.$FLEET_NET.3.2:8100/members |
	    grep -o '"state":"ready"' | wc -l)" = 4 ]
}
fleet_until 400 ready || die "not all targets are announced"
say "no route: $(e2e_request 1-1 /other)"
say "no target: $(e2e_request 1-1 /empty)"
say "bad deadline: $(e2e_request 1-1 /kiln -H 'x-timeout-ms: soon')"
say "bad key: $(e2e_request 1-1 /kiln -H 'idempotency-key;')"
say "answer: $(e2e_request 1-1 /kiln)"

# Each of many callers at once gets its own answer.
for i in $(seq 40); do
	curl -s -H "x-request-id: r$i" -H 'x-work-us: 2000' \
	    "http://127.$FLEET_NET.$((i % 2 * 2 + 1)).$((i % 4 / 2 + 1)):8000/kiln?$i" |
	    grep -q "\"path\":\"/kiln?$i\",\"id\":\"r$i\"" &&
	    echo own >>"$FLEET_DIR/own" || echo other >>"$FLEET_DIR/own" &
done
all_own() {
	[ "$(wc -l <"$FLEET_DIR/own")" = 40 ]
}
fleet_until 400 all_own
say "own answers: $(sort "$FLEET_DIR/own" | uniq -c | tr -s ' ')"

# The slots of a target are never exceeded.
for i in $(seq 60); do
	curl -s -o /dev/null -w '%{http_code}\n' -H 'x-work-us: 30000' \
	    http://127.$FLEET_NET.1.1:8000/kiln >>"$FLEET_DIR/codes" &
done
all_done() {
	[ "$(wc -l <"$FLEET_DIR/codes")" = 60 ]
}
fleet_until 400 all_done
say "most at once: $(for n in 1-1 1-2 3-1 3-2; do
	[ "$(e2e_ran $n running_most)" -le 2 ] && echo within || echo beyond
done | sort -u)"

# A stalled target: the caller hears at its deadline, and it is cancelled.
for n in 1-1 1-2 3-1 3-2; do e2e_target $n mode=stall; done
say "stalled: $(e2e_request 1-1 /short -X POST)"
cancelled() {
	local n sum=0
	for n in 1-1 1-2 3-1 3-2; do
		sum=$((sum + $(e2e_ran $n cancelled)))
	done
	[ $sum -ge "$1" ]
}
fleet_until 400 cancelled 1 && say "the work was cancelled"
# A caller that leaves frees its slot.
curl -s -m 0.3 -X POST http://127.$FLEET_NET.1.1:8000/kiln >/dev/null
fleet_until 400 cancelled 2 && say "left: the work was cancelled"
for n in 1-1 1-2 3-1 3-2; do e2e_target $n mode=up; done
# One target of four stalls: lookups are answered by another.
e2e_target 1-2 mode=stall
for i in 1 2 3 4 5 6; do e2e_request 1-1 /short; done | sort | uniq -c |
    tr -s ' '
e2e_target 1-2 mode=up

# A target that sheds says that nothing ran: another one answers.
e2e_target 1-1 mode=shed
for i in 1 2 3 4 5 6; do e2e_request 1-2 /short -X POST; done | sort | uniq -c |
    tr -s ' '
e2e_target 1-1 mode=up

# A target dies: its node says so, others answer.
fleet_kill target-1-1
for i in 1 2 3 4; do e2e_request 1-1 /short -X POST; done | sort | uniq -c |
    tr -s ' '
fleet_until 400 e2e_has 1-1 state target-down && say "announced as down"
fleet_start_target 1 1
fleet_until 400 e2e_has 1-1 state ready && say "announced as ready"

# A planned stop cuts no request, and the node ends by itself.
curl -s -H 'x-work-us: 1000000' -o /dev/null -w 'in flight: %{http_code}\n' \
    http://127.$FLEET_NET.3.1:8000/kiln >"$FLEET_DIR/flight" &
flight=$!
in_flight() {
	[ "$(e2e_status 3-1 calls)" = 1 ]
}
fleet_until 400 in_flight
fleet_ctl --node 127.$FLEET_NET.1.1:8100 drain kuching-1
wait $flight
cat "$FLEET_DIR/flight"
fleet_until 400 fleet_is_gone 3-1 && say "the node is gone"
say "during a stop: $(e2e_request 3-2 /kiln)"
