# Requests wait for a connection whose other side takes no bytes.  Those whose
# callers leave meanwhile are never sent.
. regress/e2e/lib.sh
FLEET_EXTRA='"body_bytes": 16000000, "drain": {"linger_ms": 300},'

post() { # NAME BODY-FILE MAX-SECONDS
	curl -s -m "$3" -o /dev/null -w '%{http_code}\n' -X POST \
	    --data-binary "@$2" -H 'Expect:' -H "idempotency-key: $1" \
	    "http://127.$FLEET_NET.1.1:8000/kiln" >"$FLEET_DIR/$1.result"
}

e2e_start_pair
e2e_submit <<'EOF' || die "the document is refused"
{"services": {"archive-kiln": {}},
 "policies": {"plain": {"deadline_ms": 5000}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/kiln": {"service": "archive-kiln", "endpoint_set": "kiln",
                      "policy": "plain"}}}
EOF
fleet_until 400 e2e_is_served 1-1 /kiln || die "not served"

head -c 8000000 /dev/zero >"$FLEET_DIR/large"
echo small >"$FLEET_DIR/small"
before=$(e2e_target_stat 3-1 ran)
kill -STOP "${FLEET_PID[3-1]}"
post large "$FLEET_DIR/large" 5 &
sleep 0.2
for i in 1 2 3 4 5; do post leaver$i "$FLEET_DIR/small" 0.2 & done
sleep 0.4
post stayer "$FLEET_DIR/small" 5 &
sleep 0.05
kill -CONT "${FLEET_PID[3-1]}"
wait
say "who stayed: $(cat "$FLEET_DIR"/large.result "$FLEET_DIR"/stayer.result |
    tr '\n' ' ')"
say "who left: $(cat "$FLEET_DIR"/leaver*.result | sort -u)"
say "runs: $(($(e2e_target_stat 3-1 ran) - before))"
