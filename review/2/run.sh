#!/usr/bin/env bash
# Requests that wait at a worker's node are sent to the worker long after the
# node acknowledged that it drains.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh
DRAIN_S=2.5

start_store
write_settings 1 nordur akureyri pantanir
write_settings 2 nordur akureyri pantanir
write_settings 3 nordur akureyri pantanir
write_settings 4 nordur akureyri greidslur
for n in 1 2 3; do
	start_worker $n pantanir --slots 6 --work-ms 800
done
start_worker 4 greidslur
for n in 1 2 3 4; do start_node $n; done
put_config <<END
{"version": 7, "routes": {
 "r-order": {"hostname": "shop.example", "path_prefix": "/order/",
  "type": "unsafe", "timeout_s": 6, "target_latency_s": 4, "priority": 1,
  "service": "pantanir", "attempts": 2},
 "r-look": {"hostname": "shop.example", "path_prefix": "/look/",
  "type": "safe", "timeout_s": 6, "target_latency_s": 4, "priority": 2,
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

send() { # NAME COUNT
	local i
	for i in $(seq $2); do
		request 4 POST "/order/$1-$i" "$1-$i" --deadline-ms 6000 \
		    --timeout-s 8 --body 400 >>"$WORK/answers" &
		sleep 0.02
	done
}
# Traffic by which the nodes know how long the work takes.
send usual 36
wait
note "# one of three workers turns slow by four: $TROUBLE"
[ "$TROUBLE" = 0 ] || set_worker 1 work_ms=3200
note "# clients: sent at, ended at, status, bytes, outcome, id"
send late 36
sleep 0.1
# Planned work: worker 1 says that it drains, and serves for a while longer.
set_worker 1 say=draining
until_true 2 grep -q acknowledged-draining "$WORK/worker-1.ran" ||
    cannot "the draining was not acknowledged"
# It serves for drain_s and a second longer, and ends.
set_worker 1 exit_ms=3500
sleep 8
wait
sort -n "$WORK/answers" >>"$RECORD"
keep_records
acked=$(awk '$3 == "acknowledged-draining" { print $1 }' "$WORK/worker-1.ran")
after=$(awk -v t="$acked" -v s=$DRAIN_S \
    '$3 == "ran" && $1 > t + s * 1000000' "$WORK/worker-1.ran" | wc -l)
lost=$(awk -v t="$acked" -v s=$DRAIN_S '$3 == "ran" && $1 > t + s * 1000000 {
    print $4 }' "$WORK/worker-1.ran" | while read -r id; do
	awk -v id="$id" '$NF == id && $3 != 200' "$WORK/answers"
done | wc -l)
note "# requests that reached worker 1 later than $DRAIN_S s after the acknowledgement: $after"
note "# of these, not answered with success: $lost"
[ "$after" = 0 ] || exit 1
exit 0
