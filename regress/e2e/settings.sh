# jacinthd --check: every error in a settings file is reported with its JSON
# pointer, or with line and column for malformed JSON, and the exit code is 2.
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
check() {
	cat >"$dir/s.json"
	${BUILD:-build}/jacinthd --settings "$dir/s.json" --check 2>&1 |
	    sed "s|$dir/||"
	echo "exit ${PIPESTATUS[0]}"
}
check <<'EOF'
{"node": "n", "region": "r", "failure_domain": "d", "peer": "127.0.0.1:1",
 "caller": "127.0.0.1:2", "admin": "127.0.0.1:3",
 "log": {"address": "127.0.0.1:4", "region": "r"}}
EOF
check <<'EOF'
{"node": "", "region": 7, "failure_domain": "d", "peer": "localhost:1",
 "caller": "127.0.0.1:2", "admin": "127.0.0.1", "preset": "fast",
 "log": {"address": "127.0.0.1:4", "zone": "r"}, "colour": "blue",
 "target": {"slots": 0, "queue": "long"}, "drain": 5}
EOF
check <<'EOF'
{"node": "n", "region": "r", "failure_domain": "d", "peer": "127.0.0.1:1",
 "caller": "127.0.0.1:2", "admin": "127.0.0.1:3",
 "log": {"address": "127.0.0.1:4", "region": "r"},
 "target": {"address": "127.0.0.1:5", "slots": 4}}
EOF
check <<'EOF'
{"node": "n", "node": "m"}
EOF
check </dev/null
