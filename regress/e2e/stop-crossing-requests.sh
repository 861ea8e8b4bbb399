# Requests that were on their way to a node that stops, as it ended the connection,
# were answered 502, as if they might have run.
. regress/e2e/lib.sh
FLEET_EXTRA='"drain": {"linger_ms": 300},'
FLEET_LINKS=yes
COUNT=60

# Sends requests that may not be repeated through 1-1, one each 30 ms.
send_orders() {
	local i
	for i in $(seq $COUNT); do
		curl -s -m 15 -o /dev/null -X POST \
		    -w '%{http_code}\n' \
		    "http://127.$FLEET_NET.1.1:8000/order" >>"$FLEET_DIR/results" &
		sleep 0.03
	done
	wait
	touch "$FLEET_DIR/ended"
}

count() { # STATUS
	grep -c "^$1\$" "$FLEET_DIR/results"
}

fleet_start_links || die "the links did not start"
e2e_start_pair
e2e_submit >/dev/null <<'EOF' || die "the document is refused"
{"services": {"archive-kiln": {}},
 "policies": {"once": {"deadline_ms": 12000, "idempotent": false}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/order": {"service": "archive-kiln", "endpoint_set": "kiln",
                       "policy": "once"}}}
EOF
fleet_until 400 e2e_is_served 1-1 /order || die "not served"
# So far away that much is on its way when the node ends its connections.
fleet_fault "from=1&to=3&mode=none&extra_ms=500"
before=$(e2e_target_stat 3-1 ran)
send_orders &
fleet_until 400 test -s "$FLEET_DIR/results" || die "nothing is answered"
fleet_kill 3-1 TERM
fleet_until 400 test -e "$FLEET_DIR/ended" || die "not all are answered"
ran=$(($(e2e_target_stat 3-1 ran) - before))
say "ran and not answered: $((ran - $(count 200)))"
say "told that they may have run: $(grep -c -v '^200$\|^503$' "$FLEET_DIR/results")"
[ "$(count 503)" -ge 5 ] || say "only $(count 503) were refused as not run"
fleet_until 100 fleet_is_gone 3-1 || die "3-1 does not stop"
say "the node is gone"
