# Forwarding of requests.  Guards against answers that reach the wrong caller,
# refusals without outcome and reason, targets beyond their slots, work that goes
# on after its deadline or its caller is gone, targets that fail, and requests
# cut off by a drain.
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
all_ready() {
	[ "$(fleet_get http://127.$FLEET_NET.3.2:8100/members |
	    grep -o '"state":"ready"' | wc -l)" = 4 ]
}
fleet_until 400 all_ready || die "not all members are ready"
say "no route: $(e2e_request 1-1 /other)"
say "no target: $(e2e_request 1-1 /empty)"
say "bad deadline: $(e2e_request 1-1 /kiln -H 'x-timeout-ms: soon')"
say "bad key: $(e2e_request 1-1 /kiln -H 'idempotency-key;')"
say "answer: $(e2e_request 1-1 /kiln)"

# Each of 40 concurrent callers gets the answer to its own request.
for i in $(seq 40); do
	curl -s -H "x-request-id: r$i" -H 'x-work-us: 2000' \
	    "http://127.$FLEET_NET.$((i % 2 * 2 + 1)).$((i % 4 / 2 + 1)):8000/kiln?$i" |
	    grep -q "\"path\":\"/kiln?$i\",\"id\":\"r$i\"" &&
	    echo own >>"$FLEET_DIR/own" || echo other >>"$FLEET_DIR/own" &
done
has_40_results() {
	[ "$(wc -l <"$FLEET_DIR/own")" = 40 ]
}
fleet_until 400 has_40_results
say "own answers: $(sort "$FLEET_DIR/own" | uniq -c | tr -s ' ')"

# A target never runs more requests than it has slots.  Its node keeps the slot of
# a cancelled request for 100 ms.  A target that checks its callers each 50 ms has
# noticed by then, unless the machine kept it from running for the rest: then it
# counts work that has ended, and the round says nothing of the node.
send_60() { # PATH
	: >"$FLEET_DIR/codes"
	for i in $(seq 60); do
		curl -s -o /dev/null -w '%{http_code}\n' -H 'x-work-us: 30000' \
		    "http://127.$FLEET_NET.1.1:8000$1" >>"$FLEET_DIR/codes" &
	done
	fleet_until 400 has_60_codes
}
has_60_codes() {
	[ "$(wc -l <"$FLEET_DIR/codes")" = 60 ]
}
# Sets "verdict" by the counts of the targets in the last round.
judge_slots() {
	local n
	verdict="within slots"
	for n in 1-1 1-2 3-1 3-2; do
		[ "$(e2e_target_stat $n running_most)" -gt 2 ] || continue
		[ "$(e2e_target_stat $n delay_most_us)" -gt 50000 ] ||
		    { verdict="beyond slots"; return; }
		verdict="unknown, $n did not run"
		echo "$n was held up: $(e2e_target_stat $n delay_most_us) us" >&2
	done
}
is_without_work() {
	local n
	for n in 1-1 1-2 3-1 3-2; do
		[ "$(e2e_target_stat $n running)" = 0 ] || return 1
	done
}
send_60 /kiln
judge_slots
for i in $(seq 20); do
	[ "${verdict%%,*}" = unknown ] || break
	fleet_until 400 is_without_work
	for n in 1-1 1-2 3-1 3-2; do e2e_control_target $n reset=1; done
	# The retry budget of /short lets it hedge again.
	send_60 /short
	judge_slots
done
say "concurrent requests per target: $verdict"

# Stalled targets: the caller is answered at its deadline, and the target is told
# to cancel the work.
for n in 1-1 1-2 3-1 3-2; do e2e_control_target $n mode=stall; done
say "stalled targets: $(e2e_request 1-1 /short -X POST)"
has_cancelled() {
	local n sum=0
	for n in 1-1 1-2 3-1 3-2; do
		sum=$((sum + $(e2e_target_stat $n cancelled)))
	done
	[ $sum -ge "$1" ]
}
fleet_until 400 has_cancelled 1 && say "work cancelled after the deadline"
# A caller disconnects: its work is cancelled, which frees the slot.
curl -s -m 0.3 -X POST http://127.$FLEET_NET.1.1:8000/kiln >/dev/null
fleet_until 400 has_cancelled 2 &&
    say "work cancelled after the caller disconnected"
for n in 1-1 1-2 3-1 3-2; do e2e_control_target $n mode=up; done
# One target of four stalls: a GET is retried on another.
e2e_control_target 1-2 mode=stall
for i in 1 2 3 4 5 6; do e2e_request 1-1 /short; done | sort | uniq -c |
    tr -s ' '
e2e_control_target 1-2 mode=up
# The same where requests usually take more than a quarter of their deadline.
for i in 1 2 3 4 5 6 7 8; do
	curl -s -o /dev/null -H 'x-work-us: 190000' \
	    "http://127.$FLEET_NET.3.2:8000/short" &
done
wait
e2e_control_target 3-1 mode=stall
for i in 1 2 3 4 5 6; do
	e2e_request 3-2 /short -H 'x-work-us: 190000'
done | sort | uniq -c | tr -s ' '
e2e_control_target 3-1 mode=up

# A target sheds load and reports that nothing ran: a POST is retried on another.
e2e_control_target 1-1 mode=shed
for i in 1 2 3 4 5 6; do e2e_request 1-2 /short -X POST; done | sort | uniq -c |
    tr -s ' '
e2e_control_target 1-1 mode=up

# A target is killed: its node announces that, and other targets answer.
fleet_kill target-1-1
for i in 1 2 3 4; do e2e_request 1-1 /short -X POST; done | sort | uniq -c |
    tr -s ' '
fleet_until 400 e2e_has 1-1 state target-down && say "state target-down"
fleet_start_target 1 1
fleet_until 400 e2e_has 1-1 state ready && say "state ready"

# A drain lets running requests finish, then the node exits.
curl -s -H 'x-work-us: 1000000' -o /dev/null -w 'in flight: %{http_code}\n' \
    http://127.$FLEET_NET.3.1:8000/kiln >"$FLEET_DIR/flight" &
flight=$!
is_in_flight() {
	[ "$(e2e_status 3-1 calls)" = 1 ]
}
fleet_until 400 is_in_flight
fleet_ctl --node 127.$FLEET_NET.1.1:8100 drain kuching-1
wait $flight
cat "$FLEET_DIR/flight"
fleet_until 400 fleet_is_gone 3-1 && say "node exited"
say "request after the drain: $(e2e_request 3-2 /kiln)"
