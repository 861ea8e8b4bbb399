#!/usr/bin/env bash
# Case 6, DRAIN: a worker that had left, which its node had acknowledged, gets
# requests again after the store came back from an older copy and all nodes were
# killed.  TROUBLE=0 leaves out both; TROUBLE=kill only the restore.
CASE=6
. "$(dirname "$0")/../lib-2.sh"

NODES="1-1 1-2 1-3 1-4 3-1 3-2"
choose_network
start_store
for n in $NODES; do
	write_settings $n kiln
done

config() {
	cat <<EOT
{"version": 5, "routes": {"r-a": {"hostname": "shop.example",
 "path_prefix": "/kiln/", "type": "safe", "timeout_s": 1.5,
 "target_latency_s": 0.8, "priority": 2, "service": "kiln", "attempts": 2}},
 "services": {"kiln": {"health_check": "/health", "max_connections": 130,
 "protocol": "h1", "tls": false}}, "limits": {"max_header_bytes": 16384,
 "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}}
EOT
}

config | write_config
workers=()
for n in $NODES; do
	workers+=("w$n@$(ip_of $n)=kiln")
	start_node $n
done
start_workers --beat-ms 900 -- "${workers[@]}"
wait_until_ready $NODES
sleep 3
send_requests --rate 60 --seconds 1 --path /kiln/1 --name before -- $NODES

# The worker that leaves is beside a node that has no reason to read the store:
# one that is not listed in the directory of heads.
heads=$(call GET "$STORE" "/log-newest?topic=keyed.heads&part=0")
leaving=
for n in $NODES; do
	case $heads in
	*"\"sidecar-${ZONES[${n%-*}]}-${n#*-}\""*) ;;
	*) leaving=$n ;;
	esac
done
[ -n "$leaving" ] || cannot_run "all nodes are heads"
note "leaving: w$leaving"

# The copy that the store comes back from, some seconds old by then.
control_store copy=1
note "copy of the store"
sleep 2
# A heartbeat that arrives 4 s late; then the worker leaves.
control_worker $leaving late/4000
sleep 0.2
control_worker $leaving leave
acked=$(awk '$3 == "acked" { print $1 }' "$DIR/workers.txt")
[ -n "$acked" ] || cannot_run "the leaving was not acknowledged"
sleep 0.5
if [ "$TROUBLE" = 1 ]; then
	note "store away"
	control_store down=1
	sleep 0.5
	control_store "restore=1&down=0"
	config | write_config
	note "store back from the copy"
else
	sleep 0.5
fi
sleep 0.5
if [ "$TROUBLE" != 0 ]; then
	note "all nodes killed"
	kill_nodes $NODES
	sleep 0.3
	for n in $NODES; do
		start_node $n
	done
	note "all nodes started"
	wait_until_ready $NODES
fi
# All machines are in touch again stable_window_s (3 s) later, and the late
# heartbeat has arrived.
sleep 3.3
note "requests begin"
send_requests --rate 120 --seconds 3 --path /kiln/1 --name after -- $NODES
write_record

# Requests that were sent later than drain_s after the acknowledgement.
late=$(awk -v acked="$acked" -v worker="w$leaving" '
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
