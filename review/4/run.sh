#!/usr/bin/env bash
# A worker that has deregistered gets requests again after its node's power loss.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh
DRAIN_S=2.5
TOUCH_S=3 # stable_window_s

start_store
for n in 1 2 3; do
	write_settings $n nordur akureyri pantanir
	start_worker $n pantanir --work-ms 100
done
write_settings 4 nordur akureyri greidslur
start_worker 4 greidslur
for n in 1 2 3 4; do start_node $n; done
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
until_true 10 is_ready 1 2 3 4 || cannot "the nodes are not ready"
for n in 1 2 3; do
	until_true 20 reaches 4 /look/p $n || cannot "worker $n is not used"
done
sleep 3

set_worker 1 late_ms=2500
set_worker 1 leave=1
until_true 2 grep -q acknowledged-left "$WORK/worker-1.ran" ||
    cannot "the departure was not acknowledged"
set_worker 1 exit_ms=9000
note "# all nodes are killed right after the acknowledgement: $TROUBLE"
if [ "$TROUBLE" != 0 ]; then
	for n in 1 2 3 4; do kill -KILL "${PIDS[node-$n]}"; done
	note "# killed at $(date +%s%6N)"
	sleep 0.5
	for n in 1 2 3 4; do start_node $n; done
	note "# started at $(date +%s%6N)"
fi
sleep $((TOUCH_S + 1))
note "# clients: sent at, ended at, status, bytes, outcome, id"
"$OUT/client" --id order --body 400 --times 160 --every-ms 30 \
    --deadline-ms 1500 --timeout-s 3 "$(ip 4):8147" POST /order/1 \
    >"$WORK/answers"
sort -n "$WORK/answers" >>"$RECORD"
keep_records
acked=$(awk '$3 == "acknowledged-left" { print $1 }' "$WORK/worker-1.ran")
after=$(awk -v t="$acked" -v s=$DRAIN_S \
    '$3 == "ran" && $1 > t + s * 1000000' "$WORK/worker-1.ran" | wc -l)
lost=$(awk '$3 != 200' "$WORK/answers" | wc -l)
note "# requests that reached worker 1 later than $DRAIN_S s after the acknowledgement: $after"
note "# of 160 requests, not answered with success: $lost"
[ "$after" = 0 ] || exit 1
exit 0
