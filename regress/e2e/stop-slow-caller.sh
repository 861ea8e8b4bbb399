# A stop cut the answers that a caller had not read yet.
. regress/e2e/lib.sh
FLEET_EXTRA='"drain": {"linger_ms": 300},'
COUNT=18
SIZE=900000

# Sends pipelined requests to 1-1, reads nothing until the file "read" exists,
# and then all: more than the kernel takes of a process that has ended.
download() {
	local i
	exec 5<>/dev/tcp/127.$FLEET_NET.1.1/8000
	for i in $(seq $COUNT); do
		printf 'GET /kiln HTTP/1.1\r\nhost: h\r\nx-answer-bytes: %d\r\n\r\n' \
		    $SIZE >&5
	done
	while [ ! -e "$FLEET_DIR/read" ]; do
		sleep 0.05
	done
	cat <&5 >"$FLEET_DIR/answers" 2>/dev/null
}

all_ran() {
	[ "$(e2e_counter 1-1 requests_answered_total)" -ge $((before + COUNT)) ]
}

e2e_start_pair
e2e_submit >/dev/null <<'EOF' || die "the document is refused"
{"services": {"archive-kiln": {}},
 "policies": {"long": {"deadline_ms": 20000, "idempotent": true}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/kiln": {"service": "archive-kiln", "endpoint_set": "kiln",
                      "policy": "long"}}}
EOF
fleet_until 400 e2e_is_served 1-1 /kiln || die "not served"
before=$(e2e_counter 1-1 requests_answered_total)
download &
reader=$!
fleet_until 400 all_ran || die "the answers are not made"
fleet_kill 1-1 TERM
# Longer than a stop takes where nothing is owed.
sleep 1.5
fleet_is_gone 1-1 && say "the node is gone" || say "the node waits"
touch "$FLEET_DIR/read"
wait $reader
bytes=$(wc -c <"$FLEET_DIR/answers")
say "answers begun: $(grep -a -o 'HTTP/1.1 200' "$FLEET_DIR/answers" | wc -l)," \
    "all bytes: $([ "$bytes" -ge $((COUNT * SIZE)) ] && echo yes || echo "no, $bytes")"
fleet_until 40 fleet_is_gone 1-1 || die "1-1 does not stop"
say "the node is gone"

# A connection without answers to come does not hold a stop up.
fleet_kill 3-1 TERM
fleet_until 40 fleet_is_gone 3-1 || die "3-1 does not stop"
say "the other node is gone"
