# Runs nodes with the platform adapter against fakes of the metadata store and
# of workers, over real sockets.
. regress/e2e/lib.sh
. regress/stand/platform.sh

platform_start_fleet || die "the store does not start"
sleep 1
say "ready without a document:" \
    "$(platform_is_ready 1-1 >/dev/null && echo yes || echo no)"
say "request without a document: $(platform_request 1-1 /kiln/1)"
platform_document 5 kiln | platform_put_document
fleet_until 200 platform_all_ready || die "not ready"
say "ready"
fleet_until 200 platform_served_by 1-2 /kiln/1 w1-1 || die "no answer"
fleet_until 200 platform_served_by 3-2 /kiln/1 w3-1 || die "no answer"
say "request to a worker in the same failure domain:" \
    "$(platform_unhedged_request 1-2 /kiln/1)"
say "no route: $(platform_request 1-2 /none/1)"
say "unknown host: $(REQUEST_HOST=other.example platform_request 1-2 /kiln/1)"
say "internal headers sent by a caller are ignored:" \
    "$(platform_request 1-2 /kiln/1 \
    -H 'Jacinthdyke-Caller-Service: root' \
    -H 'Jacinthdyke-Expected-Instance: x')"

say "# versions"
platform_document 9 ops ', "r-c": {"hostname": "shop.example", "path_prefix": "/new/",
 "type": "safe", "timeout_s": 1, "priority": 1, "attempts": 2,
 "weighted_clusters": [{"service": "kiln", "weight": 1}]}' |
    platform_put_document
fleet_until 50 platform_served_by 3-1 /kiln/1 w3-2 ||
    die "version 9 is not applied"
fleet_until 50 platform_served_by 1-1 /new/1 w1-1 ||
    die "the new route is not applied"
say "one route changed and one added"
platform_document 8 kiln | platform_put_document
echo '{"version": 10, "routes": {"r-a": 7}, "services": {}}' |
    platform_put_document
platform_document 11 nowhere | platform_put_document
echo 'not a document' | platform_put_document
bad_document_counted() {
	[ "$(($(platform_metric 1-1 config_bad_records_total) +
	    $(platform_metric 1-2 config_bad_records_total) +
	    $(platform_metric 3-1 config_bad_records_total) +
	    $(platform_metric 3-2 config_bad_records_total)))" -ge 1 ]
}
fleet_until 100 bad_document_counted || die "a bad document was not counted"
say "older, invalid and malformed documents are ignored:" \
    "$(platform_request 1-1 /kiln/1)"
platform_control_store forget=1
platform_document 20 kiln | platform_put_document
fleet_until 100 platform_served_by 3-2 /kiln/1 w3-1 ||
    die "version 20 is not applied"
fleet_until 100 platform_served_by 1-2 /kiln/1 w1-1 ||
    die "version 20 is not applied by 1-2"
say "a new version is read after the store expired its history"

say "# store unavailable"
platform_control_store silent=1
sleep 1
say "answered while it is silent: $(platform_unhedged_request 1-2 /kiln/1)"
fleet_kill 3-1
fleet_start_node 3 1
fleet_kill 1-2 TERM
fleet_until 200 fleet_is_gone 1-2 || die "1-2 does not exit"
fleet_start_node 1 2
fleet_until 160 platform_is_ready 3-1 || die "3-1 is not ready"
fleet_until 160 platform_is_ready 1-2 || die "1-2 is not ready"
say "nodes that restart meanwhile get ready:" \
    "$(platform_unhedged_request 1-2 /kiln/1)"
platform_control_store silent=0
platform_control_store down=1
fleet_kill 3-2
fleet_start_node 3 2
say "answered while it is down: $(platform_unhedged_request 1-2 /kiln/1)"
platform_control_store down=0
fleet_until 200 platform_is_ready 3-2 ||
    die "3-2 is not ready after its restart"
platform_document 21 ops | platform_put_document
fleet_until 100 platform_served_by 3-1 /kiln/1 w ||
    die "version 21 is not applied"
platform_document 22 kiln | platform_put_document
fleet_until 100 platform_served_by 1-2 /kiln/1 w1-1 ||
    die "version 22 is not applied"
say "new versions are applied again"
store_outcome_logged() { # OUTCOME
	grep -h '"event":"store"' "$FLEET_DIR"/*.log | grep -q "\"outcome\":\"$1\""
}
fleet_until 100 store_outcome_logged back ||
    die "the return of the store is not logged"
say "the loss of the store is logged:" \
    "$(store_outcome_logged lost && echo yes || echo no)"

say "# workers"
platform_control_worker 1-1 say=noise
malformed_heartbeats_counted() {
	[ "$(platform_metric 1-1 heartbeats_bad_total)" -ge 2 ]
}
fleet_until 100 malformed_heartbeats_counted ||
    die "the malformed heartbeats were not counted"
say "a malformed heartbeat is ignored:" \
    "$(platform_unhedged_request 1-2 /kiln/1)"
platform_control_worker 1-1 say=ready
platform_control_worker 1-1 mode=shed
say "an unsafe request refused by the worker:" \
    "$(platform_request 1-2 /order/1 -X POST)"
platform_control_worker 1-1 mode=ok
platform_control_worker 1-1 id=second
fleet_until 50 platform_served_by 1-2 /kiln/1 second ||
    die "second is not used"
say "requests reach a new process at the same address"
platform_control_worker 1-1 say=draining
fleet_until 50 platform_served_by 1-2 /kiln/1 w3-1 || die "1-1 still gets work"
before=$(fleet_get "http://127.$FLEET_NET.1.1:9000/-/stats" | tr -dc '0-9,' |
    cut -d, -f1)
for i in 1 2 3 4 5 6; do
	platform_request 1-1 /kiln/$i >/dev/null
done
after=$(fleet_get "http://127.$FLEET_NET.1.1:9000/-/stats" | tr -dc '0-9,' |
    cut -d, -f1)
say "requests to a draining worker: $((after - before))"
platform_control_worker 1-1 say=ready
platform_control_worker 1-1 id=third
fleet_until 50 platform_served_by 1-2 /kiln/1 third || die "third is not used"
platform_control_worker 1-1 leave=1
fleet_until 50 platform_served_by 1-2 /kiln/1 w3-1 || die "1-1 still gets work"
say "a deregistered worker gets no requests"
platform_control_worker 1-1 id=fourth
platform_control_worker 1-1 say=ready
fleet_until 50 platform_served_by 1-2 /kiln/1 fourth ||
    die "fourth is not used"

say "# stops and settings"
fleet_kill 1-1 HUP
sleep 0.3
say "after SIGHUP: $(platform_request 1-1 /kiln/1)"
echo '{' >"$FLEET_DIR/1-1.json"
sleep 1.5
say "with a broken settings file: $(platform_request 1-1 /kiln/1)"
platform_write_settings 1 1 kiln
say "# a stopping node"
fleet_kill 1-1 TERM
sleep 0.5
say "its worker goes on: $(platform_request 1-2 /kiln/1)"
say "ready after SIGTERM:" \
    "$(platform_is_ready 1-1 >/dev/null && echo yes || echo no)"
fleet_until 200 platform_served_by 1-2 /kiln/1 w3-1 || die "1-1 still gets work"
fleet_until 200 fleet_is_gone 1-1 || die "1-1 does not exit"
fleet_start_node 1 1
fleet_until 200 platform_served_by 1-2 /kiln/1 fourth ||
    die "no requests after the restart"
platform_document 25 kiln ', "r-s": {"hostname": "shop.example",
 "path_prefix": "/slow/", "type": "unsafe", "timeout_s": 4, "priority": 0,
 "attempts": 1, "service": "kiln"}' | platform_put_document
fleet_until 100 platform_served_by 1-2 /slow/1 fourth ||
    die "the slow route is not applied"
platform_control_worker 1-1 mode=stall
platform_request 1-2 /slow/1 >/dev/null &
fleet_kill 1-1 TERM
refuses_long_request() {
	[ "$(curl -s -m 0.3 -o /dev/null -w '%{http_code}' \
	    -H 'Host: shop.example' \
	    "http://127.$FLEET_NET.1.1:8000/slow/1")" = 503 ]
}
fleet_until 100 refuses_long_request ||
    die "a request is taken that cannot end before the exit"
say "its target may still call:" \
    "$(platform_request 1-1 /kiln/1 -H 'Jacinthdyke-Deadline-Ms: 500')"
platform_control_worker 1-1 mode=ok
fleet_until 200 fleet_is_gone 1-1 || die "1-1 does not exit"
wait $!
fleet_start_node 1 1
fleet_until 100 platform_served_by 1-2 /kiln/1 fourth ||
    die "no requests after the restart"
say "its worker is used again after the restart"
fleet_kill 1-2 TERM
say "ready after SIGTERM:" \
    "$(platform_is_ready 1-2 >/dev/null && echo yes || echo no)"
say "served after SIGTERM: $(platform_request 1-2 /kiln/1)"
fleet_until 200 fleet_is_gone 1-2 || die "1-2 does not exit"
say "the process exited"
fleet_start_node 1 2
fleet_until 200 platform_is_ready 1-2 ||
    die "1-2 is not ready after its restart"
platform_restart_all
fleet_until 200 platform_all_ready || die "not ready after all were killed"
fleet_until 100 platform_served_by 1-2 /kiln/1 fourth ||
    die "no answer after all were killed"
say "all nodes serve again after all were killed"
platform_restart_all
gets_response() { # D-I
	curl -s -m 5 -o "$FLEET_DIR/body" -H 'Host: shop.example' \
	    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000/kiln/1"
}
probes=
for n in 1-1 1-2 3-1 3-2; do
	fleet_until 200 gets_response $n &
	probes="$probes $!"
done
wait $probes
sum_metric() { # METRIC
	local n total=0
	for n in 1-1 1-2 3-1 3-2; do
		total=$((total + $(platform_metric $n $1)))
	done
	echo $total
}
say "early requests wait until the node is ready: $([ "$(sum_metric \
    requests_waited_total)" -ge 1 ] && echo yes || echo no)," \
    "refused as not ready: $(sum_metric refused_not_ready_total)"
