# Rolling restart: the nodes of a failure domain are stopped and started one by
# one under load.  No request may be refused, cut off or lost, and each node must
# become ready again.
. regress/e2e/lib.sh
E2E_TARGET="archive-kiln kiln 18 130"
E2E_SERVICE_US=20000
FLEET_EXTRA='"drain": {"linger_ms": 500},'
e2e_start 2 1 2
e2e_submit <<'EOF'
{"services": {"archive-kiln": {}},
 "policies": {"p": {"deadline_ms": 20000, "retry_percent": 100}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/kiln": {"service": "archive-kiln", "endpoint_set": "kiln",
                      "policy": "p"}}}
EOF
all_ready() {
	[ "$(fleet_get http://127.$FLEET_NET.1.1:8100/members |
	    grep -o '"state":"ready"' | wc -l)" = 4 ]
}
fleet_until 400 all_ready || die "not all members are ready"
cat >"$FLEET_DIR/load.json" <<EOF
{"seconds": 12, "streams": [
 {"name": "orders", "method": "POST", "path": "/kiln", "rate": 50.0,
  "timeout_ms": 20000, "to": ["127.$FLEET_NET.1.1:8000", "127.$FLEET_NET.1.2:8000"]}]}
EOF
"$FLEET_BIN/jd-load" run "$FLEET_DIR/load.json" >"$FLEET_DIR/result" &
load=$!
for i in 1 2; do
	fleet_kill 2-$i TERM
	fleet_until 400 fleet_is_gone 2-$i || die "2-$i did not stop"
	say "node 2-$i stopped"
	fleet_start_node 2 $i
	fleet_until 400 e2e_has 2-$i state ready || die "2-$i did not become ready"
	say "node 2-$i ready again"
done
wait $load
tr ',' '\n' <"$FLEET_DIR/result" | tr -d ' {"' |
    grep -E '^(sent|answered|not_run|unknown|failed|crossed):'
