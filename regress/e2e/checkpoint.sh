# Expiry of log records.  A new node must start from a checkpoint when the
# records before it have expired.  A restarted node that finds neither its
# records nor a checkpoint that reaches those left must report log_expired and
# refuse requests rather than serve without a configuration.
. regress/e2e/lib.sh
E2E_TARGET=
E2E_LOG_OPTIONS="--keep 4"
FLEET_EXTRA='"checkpoint": {"versions": 3, "seconds": 600},'
e2e_start 1 1 2
patch() {
	e2e_submit <<EOF
{"policies": {"p": {"deadline_ms": $((1000 + VERSION))}}}
EOF
}
for i in 1 2 3 4 5 6 7 8 9 10; do
	patch >/dev/null || die "submit"
	fleet_until 400 e2e_has 1-1 version $VERSION || die "1-1"
	fleet_until 400 e2e_has 2-1 version $VERSION || die "2-1"
done
say "the oldest records expired:" \
    "$(fleet_get http://$FLEET_LOG/stats | tr '}' '\n' | grep -c '"config":{"first":6')"
fleet_settings 1 2
fleet_start_node 1 2
fleet_until 400 e2e_has 1-2 version 10 && say "a new node has version 10"
say "digests: $(for n in 1-1 1-2 2-1; do e2e_status $n digest; done | sort -u |
    wc -l)"
# Stop all nodes and let records expire past the newest checkpoint.
for n in 1-1 1-2 2-1; do fleet_kill $n; done
for i in 1 2 3 4 5; do
	curl -s -X POST -d '{"type":"noise"}' \
	    "http://$FLEET_LOG/streams/config/records" >/dev/null
done
fleet_start_node 1 1
fleet_until 400 e2e_has 1-1 log_expired true &&
    say "the node reports that the log expired"
say "it refuses requests: $(e2e_request 1-1 /any)"
