#!/usr/bin/env bash
# A stop of the node that has taken a request cuts the answer that the client
# is still reading.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh

start_store
write_settings 1 nordur akureyri pantanir
write_settings 2 nordur akureyri pantanir
write_settings 3 nordur husavik greidslur
start_worker 1 pantanir --slots 9 --body 540000 --work-ms 110
start_worker 2 pantanir --slots 9 --body 540000 --work-ms 110
start_worker 3 greidslur
for n in 1 2 3; do start_node $n; done
put_config <<END
{"version": 7, "routes": {
 "r-archive": {"hostname": "shop.example", "path_prefix": "/archive/",
  "type": "download", "timeout_s": 20, "target_latency_s": 4, "priority": 2,
  "service": "pantanir", "attempts": 2}},
 "services": {"pantanir": {"health_check": "/health", "max_connections": 120},
  "greidslur": {"health_check": "/health", "max_connections": 120}},
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
  "header_timeout_s": 3, "idle_timeout_s": 15}}
END
until_true 10 is_ready 1 2 3 || cannot "the nodes are not ready"
until_true 10 reaches 3 /archive/p 1 || cannot "worker 1 is not used"
sleep 3

note "# SIGTERM of the node beside the client: $TROUBLE"
[ "$TROUBLE" = 0 ] || kill -TERM "${PIDS[node-3]}"
sleep 0.7
# The client's machine has not missed two checks of its readiness yet.
note "# client: sent at, ended at, status, bytes, outcome, id"
request 3 GET /archive/1 archive --pipeline 18 --deadline-ms 5000 \
    --timeout-s 8 --read-kbps 2125 --rcvbuf 65536 >"$WORK/answers"
cat "$WORK/answers" | tee -a "$RECORD"
keep_records
# Passed on to a worker, and ended without a complete answer.
cut=$(awk '$7 == "cut" || $7 == "no-answer" { print $8 }' "$WORK/answers" |
    while read -r id; do
	    grep -l " answers $id " "$WORK"/worker-*.ran
    done | wc -l)
note "# answers that the workers made and the client did not get whole: $cut of 18"
[ "$cut" = 0 ] || exit 1
exit 0
