#!/usr/bin/env bash
# An unsafe request with the method GET runs twice when its answer is lost.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh

start_store
write_settings 1 nordur akureyri pantanir
write_settings 2 nordur akureyri pantanir
write_settings 3 nordur husavik greidslur
start_worker 1 pantanir
start_worker 2 pantanir
start_worker 3 greidslur
for n in 1 2 3; do start_node $n; done
put_config <<END
{"version": 7, "routes": {
 "r-order": {"hostname": "shop.example", "path_prefix": "/order/",
  "type": "unsafe", "timeout_s": 0.8, "target_latency_s": 0.4, "priority": 1,
  "service": "pantanir", "attempts": 2},
 "r-look": {"hostname": "shop.example", "path_prefix": "/look/",
  "type": "safe", "timeout_s": 0.8, "target_latency_s": 0.4, "priority": 2,
  "service": "pantanir", "attempts": 2}},
 "services": {"pantanir": {"health_check": "/health", "max_connections": 120},
  "greidslur": {"health_check": "/health", "max_connections": 120}},
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
  "header_timeout_s": 3, "idle_timeout_s": 15}}
END
until_true 10 is_ready 1 2 3 || cannot "the nodes are not ready"
until_true 10 reaches 3 /look/p 1 || cannot "worker 1 is not used"
until_true 10 reaches 3 /look/p 2 || cannot "worker 2 is not used"
sleep 3

note "# answers are lost at worker 1 for 4 s: $TROUBLE"
[ "$TROUBLE" = 0 ] || set_worker 1 lose_percent=40
note "# clients: sent at, ended at, status, bytes, outcome, id"
for i in $(seq 60); do
	request 3 GET "/order/$i" "order-$i" --deadline-ms 1500 --timeout-s 3 \
	    >>"$WORK/answers" &
	sleep 0.06
done
wait
set_worker 1 lose_percent=0
sort -n "$WORK/answers" >>"$RECORD"
keep_records

ran=$(cat "$WORK"/worker-*.ran | awk '$3 == "ran" && $4 ~ /^order-/' | wc -l)
lost=$(cat "$WORK"/worker-*.ran | grep -c ' answer-lost order-')
twice=$(cat "$WORK"/worker-*.ran | awk '$3 == "ran" && $4 ~ /^order-/ { n[$4]++ }
    END { for (id in n) k += n[id] > 1; print k + 0 }')
note "# unsafe requests: 60 sent, $ran runs, $lost answers lost, $twice ran more than once"
[ "$ran" -ge 30 ] || cannot "too few requests ran"
[ "$twice" = 0 ] || exit 1
exit 0
