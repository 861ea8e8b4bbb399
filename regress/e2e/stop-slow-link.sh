# A stop of a target's node cut the answers that were on their way to the nodes of
# its callers, over a link that is slow.
. regress/e2e/lib.sh
FLEET_EXTRA='"drain": {"linger_ms": 300},'
FLEET_LINKS=yes
COUNT=12
SIZE=900000

download() {
	local i
	for i in $(seq $COUNT); do
		curl -s -m 15 -o /dev/null -H "x-answer-bytes: $SIZE" \
		    -w '%{http_code} %{size_download}\n' \
		    "http://127.$FLEET_NET.1.1:8000/kiln" >>"$FLEET_DIR/results" &
	done
	wait
	touch "$FLEET_DIR/ended"
}

all_ran() {
	[ "$(e2e_target_stat 3-1 ran)" -ge $((before + COUNT)) ]
}

fleet_start_links || die "the links did not start"
e2e_start_pair
e2e_submit >/dev/null <<'EOF' || die "the document is refused"
{"services": {"archive-kiln": {}},
 "policies": {"long": {"deadline_ms": 12000, "idempotent": false}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/kiln": {"service": "archive-kiln", "endpoint_set": "kiln",
                      "policy": "long"}}}
EOF
fleet_until 400 e2e_is_served 1-1 /kiln || die "not served"
before=$(e2e_target_stat 3-1 ran)
download &
fleet_until 400 all_ran || die "not all have run"
fleet_kill 3-1 TERM
fleet_until 400 test -e "$FLEET_DIR/ended" || die "not all are answered"
say "whole answers: $(awk -v size=$SIZE '$1 == 200 && $2 > size' \
    "$FLEET_DIR/results" | wc -l) of $COUNT"
fleet_until 40 fleet_is_gone 3-1 || die "3-1 does not stop"
say "the node is gone"
