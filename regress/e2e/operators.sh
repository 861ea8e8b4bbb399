# jacinthctl against a real fleet: submit, check, show, diff, history and wait,
# with the error messages and exit codes.
. regress/e2e/lib.sh
e2e_start 2 1 3
patch() {
	printf '%s' "$1" >"$FLEET_DIR/p.json"
}
try() { # WORDS...
	fleet_ctl "$@" 2>&1
	echo "exit $?"
}
patch '{"base": 0, "patch": {"services": {"kiln": {}}}}'
try submit "$FLEET_DIR/p.json"
try submit "$FLEET_DIR/p.json"
patch '{"base": 9, "patch": {"services": {"kiln": {}}}}'
try submit "$FLEET_DIR/p.json"
patch '{"base": 1, "patch": {"routes": {"/k": {"service": "kiln", "endpoint_set": "none"}}}}'
try check "$FLEET_DIR/p.json"
try submit "$FLEET_DIR/p.json"
patch '{"base": 1, "patch": {"services": {"kiln": {"size": 3}}}}'
try check "$FLEET_DIR/p.json"
try --json check "$FLEET_DIR/p.json"
patch '{"base": 1, "ptch": {}}'
try check "$FLEET_DIR/p.json"
patch '{"base": 1, "patch": {"services": {"ops": {"note": "n"}}}}'
try --id same-id --author clerk submit "$FLEET_DIR/p.json"
# Repeating a submission with the same id yields the outcome of the first and
# no second version.
try --id same-id --author clerk submit "$FLEET_DIR/p.json"
try show 1
try diff 1 2
fleet_ctl history | awk '{ print $1, $2, $3, $4, $5 }'
try --node 127.$FLEET_NET.3.1:8100 wait 2
try --node 127.$FLEET_NET.3.1:8100 --timeout 1 wait 9
try nonsense
try show 77
# Two submissions with the same base: one is accepted, the other is refused and
# names the version that took its place.
patch '{"base": 2, "patch": {"services": {"race": {}}}}'
fleet_ctl submit "$FLEET_DIR/p.json" >"$FLEET_DIR/r1" 2>&1 &
one=$!
fleet_ctl submit "$FLEET_DIR/p.json" >"$FLEET_DIR/r2" 2>&1 &
two=$!
wait $one
wait $two
cat "$FLEET_DIR/r1" "$FLEET_DIR/r2" | sort | sed 's/;.*//'
# An outage of the log; then an append whose answer is lost: the submission must
# find its record in the log instead of reporting a failure.
curl -s "http://$FLEET_LOG/control?mode=down" >/dev/null
patch '{"base": 3, "patch": {"services": {"late": {}}}}'
try --timeout 1 submit "$FLEET_DIR/p.json"
curl -s "http://$FLEET_LOG/control?mode=lose-answers" >/dev/null
try submit "$FLEET_DIR/p.json"
curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
try --node 127.$FLEET_NET.1.2:8100 wait 4
