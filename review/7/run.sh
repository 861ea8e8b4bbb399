#!/usr/bin/env bash
# Case 7, DRAIN: a worker that had left, which its node had acknowledged, gets
# requests again when all nodes were killed while the store is down, as soon as
# the store is back.  TROUBLE=0 leaves out both; TROUBLE=kill only that the store
# is down.
CASE=7
. "$(dirname "$0")/../lib-2.sh"

NODES="1-1 1-2 1-3 1-4 3-1 3-2"
LEAVING=1-3
choose_network
start_store
cat <<EOT | write_config
{"version": 5, "routes": {"r-a": {"hostname": "shop.example",
 "path_prefix": "/kiln/", "type": "safe", "timeout_s": 1.5,
 "target_latency_s": 0.8, "priority": 2, "service": "kiln", "attempts": 2}},
 "services": {"kiln": {"health_check": "/health", "max_connections": 130,
 "protocol": "h1", "tls": false}}, "limits": {"max_header_bytes": 16384,
 "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}}
EOT
workers=()
for n in $NODES; do
	write_settings $n kiln
	workers+=("w$n@$(ip_of $n)=kiln")
	start_node $n
done
start_workers --beat-ms 900 -- "${workers[@]}"
wait_until_ready $NODES
sleep 3
send_requests --rate 60 --seconds 1 --path /kiln/1 --name before -- $NODES

# A heartbeat that arrives 3.4 s late; then the worker leaves.
control_worker $LEAVING late/3400
sleep 0.2
control_worker $LEAVING leave
acked=$(awk '$3 == "acked" { print $1 }' "$DIR/workers.txt")
[ -n "$acked" ] || cannot_run "the leaving was not acknowledged"
sleep 0.2
if [ "$TROUBLE" = 1 ]; then
	control_store silent=1
	note "store silent"
fi
down_at=$(now_us)
sleep 0.2
if [ "$TROUBLE" != 0 ]; then
	note "all nodes killed"
	kill_nodes $NODES
	sleep 0.2
	for n in $NODES; do
		start_node $n
	done
	note "all nodes started"
fi
# The store is down, without an answer, for 4.5 s.
sleep "$(awk -v s="$down_at" -v n="$(now_us)" \
    'BEGIN { print 4.5 - (n - s) / 1e6 }')"
# Only the node that has acknowledged the leaving is asked: it is bound also
# while the store is in disruption.
send_requests --rate 150 --seconds 5 --path /kiln/1 --name after -- \
    $LEAVING $LEAVING $LEAVING $LEAVING $LEAVING $LEAVING &
clients=$!
sleep 0.2
if [ "$TROUBLE" = 1 ]; then
	note "store back"
	control_store silent=0
fi
wait $clients
write_record

# Requests that were sent later than drain_s after the acknowledgement.
late=$(awk -v acked="$acked" -v worker="w$LEAVING" '
    $2 == "sent" { sent[$3] = $1 }
    $2 == worker && $3 == "ran" { ran[$4] = $1 }
    END {
	for (id in ran)
		n += sent[id] > acked + 2500000
	print n + 0
    }' "$RECORD")
answered=$(grep -c ' answered after.* 200$' "$RECORD")
echo "requests that reached the worker later than drain_s: $late;" \
    "answered with 200 in that time: $answered"
[ "$answered" -gt 200 ] || cannot_run "the nodes did not serve"
[ "$late" -eq 0 ]
