#!/usr/bin/env bash
# Demonstrates the system end to end: starts the log and eight nodes, each with
# a target, in four failure domains, submits a configuration patch, prints when
# each node applied it, and sends a request.  All processes are killed at exit.
set -u
cd "$(dirname "$0")/.." || exit 1
FLEET_DIR=$(mktemp -d)
. load/fleet.sh
trap 'fleet_end; rm -rf "$FLEET_DIR"' EXIT

fail() {
	echo "demo: $*" >&2
	tail -n 5 "$FLEET_DIR"/*.err >&2
	exit 1
}

fleet_start_log || fail "the log did not start"
nodes=()
for d in 1 2 3 4; do
	for i in 1 2; do
		fleet_settings $d $i archive-kiln kiln-all 18 130
		fleet_start_target $d $i
		fleet_start_node $d $i
		nodes+=("$d-$i")
	done
done
echo "started ${#nodes[@]} nodes in 4 failure domains of 2 regions"

cat >"$FLEET_DIR/patch.json" <<'EOF'
{"base": 0, "author": "demo", "patch": {
  "services": {"archive-kiln": {}},
  "endpoint_sets": {"kiln-all": {"service": "archive-kiln"}},
  "routes": {"/kiln": {"service": "archive-kiln",
                       "endpoint_set": "kiln-all"}}}}
EOF
has_joined() {
	fleet_ctl --json --node 127.$FLEET_NET.1.1:8100 status | grep -q '"count":8'
}
fleet_until 200 has_joined || fail "the nodes did not join one tree"
result=$(fleet_ctl --json submit "$FLEET_DIR/patch.json") ||
    fail "submit: $result"
echo "submitted: $result"
fleet_ctl --node 127.$FLEET_NET.4.2:8100 wait 1 ||
    fail "version 1 was not applied"

at=${result##*\"at_us\":}
at=${at%%[!0-9]*}
last=0
for n in "${nodes[@]}"; do
	ip=127.$FLEET_NET.${n%-*}.${n#*-}
	applied=$(fleet_get "http://$ip:8100/applied")
	us=${applied##*\[1,}
	us=${us%%[!0-9]*}
	ms=$(awk -v a="$us" -v b="$at" 'BEGIN { printf "%.1f", (a - b) / 1000 }')
	echo "  ${FLEET_DOMAINS[${n%-*}]}-${n#*-} applied version 1" \
	    "$ms ms after the log accepted it"
	[ "$us" -gt "$last" ] && last=$us
done
awk -v a="$last" -v b="$at" \
    'BEGIN { printf "applied everywhere after %.1f ms\n", (a - b) / 1000 }'
echo "control traffic in bytes: $(fleet_sum control_sent_bytes_total \
    "${nodes[@]}")," "between regions:" \
    "$(fleet_sum control_sent_region_bytes_total "${nodes[@]}")"

# A target is announced after its next health check.
fleet_until 60 fleet_get http://127.$FLEET_NET.4.2:8000/kiln/slots ||
    fail "no answer to a request at kota-kinabalu-2"
echo "request to kota-kinabalu-2: $(curl -s -H 'x-request-id: demo-7' \
    http://127.$FLEET_NET.4.2:8000/kiln/slots?day=1)"
curl -s -H 'x-request-id: demo-7' http://127.$FLEET_NET.4.2:8000/kiln/slots |
    grep -q '"id":"demo-7"' ||
    fail "the answer does not carry the id of its request"
echo "demo passed"
