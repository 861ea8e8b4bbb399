#!/usr/bin/env bash
# Nodes that start together each hand out a tenant's whole quota.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh
RATE=20 BURST=20       # of the tenant
WINDOW_US=5000000      # quota_window_s
LIMIT=$(((RATE * 5 + BURST) * 11 / 10 + 20)) # quota_over 0.1, quota_slack 20
EVERY_MS=40            # each of the eight nodes gets 25 requests a second
ZONES=(none nord-a nord-b sud-a sud-b nord-a nord-b sud-a sud-b)
REGIONS=(none tn-nord tn-nord tn-sud tn-sud tn-nord tn-nord tn-sud tn-sud)
NODES=$(seq 8)

start_store
for n in $NODES; do
	write_settings $n ${REGIONS[n]} ${ZONES[n]} mapview
	sed -i 's/recover_s=15/recover_s=15,quota_window_s=5,quota_over=0.1,quota_slack=20/' \
	    "$WORK/node-$n.json"
	start_worker $n mapview --slots 18 --work-ms 20
	start_node $n
done
put_config <<END
{"version": 7, "routes": {
 "r-map": {"hostname": "shop.example", "path_prefix": "/map/", "type": "safe",
  "timeout_s": 1.5, "target_latency_s": 1, "priority": 0,
  "service": "mapview", "attempts": 2, "public": false}},
 "services": {"mapview": {"health_check": "/health", "max_connections": 580}},
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
  "header_timeout_s": 3, "idle_timeout_s": 15},
 "tenants": {"bea": {"api_keys": ["key-bea"], "priority": 1,
  "rate_per_s": $RATE, "burst": $BURST}}}
END
until_true 10 is_ready $NODES || cannot "the nodes are not ready"
sleep 3

for n in $NODES; do
	"$OUT/client" --id hot-$n --credential key-bea --deadline-ms 2500 \
	    --timeout-s 3 --times 500 --every-ms $EVERY_MS "$(ip $n):8147" GET \
	    /map/$n >"$WORK/answers-$n" 2>/dev/null &
	track clients-$n
done
# The burst is used up.
sleep 8
note "# all nodes are killed and started again, twice: $TROUBLE"
if [ "$TROUBLE" != 0 ]; then
	for i in $(seq ${KILLS:-2}); do
		note "# killed at $(date +%s%6N)"
		for n in $NODES; do kill -KILL "${PIDS[node-$n]}"; done
		sleep 0.3
		for n in $NODES; do start_node $n; done
		sleep 2
	done
fi
sleep 8
sleep 6

note "# clients: sent at, ended at, status, bytes, outcome, id"
cat "$WORK"/answers-* | sort -n >>"$RECORD"
keep_records
# The most requests that were both sent and run in any window; each counts once.
most=$({ awk '{ print $8, $1, "sent" }' "$WORK"/answers-*
    awk '$3 == "ran" && $4 ~ /^hot-/ { print $4, $1, "ran" }' \
	"$WORK"/worker-*.ran; } | awk '
    $3 == "sent" { sent[$1] = $2 }
    $3 == "ran" && !($1 in ran) { ran[$1] = $2 }
    END { for (id in ran) print ran[id], sent[id] }' | sort -n | awk -v w=$WINDOW_US '
    BEGIN { n = 0 }
    { ran[n] = $1; sent[n] = $2; n++
      count = 0
      for (i = n - 1; i >= 0 && ran[i] > $1 - w; i--)
	  count += sent[i] > $1 - w
      if (count > most) most = count }
    END { print most + 0 }')
total=$(cat "$WORK"/worker-*.ran | grep -c ' ran hot-')
note "# most requests of the tenant in 5 s: $most, the rule allows $LIMIT; $total in all"
[ "$total" -ge 200 ] || cannot "too few requests ran"
[ "$most" -le $LIMIT ] || exit 1
exit 0
