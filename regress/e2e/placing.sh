# A service that is balanced by work: a target that takes five times as long gets
# fewer requests, and an operator sees its speed.
. regress/e2e/lib.sh

E2E_TARGET="forge forge 4 8"
start_nodes() {
	local i us
	fleet_start_log || die "the log did not start"
	for i in 1 2 3; do
		us=20000
		[ $i -ne 3 ] || us=100000
		fleet_settings 1 $i $E2E_TARGET
		fleet_start_target 1 $i $us
		fleet_start_node 1 $i
	done
	E2E_TOTAL=3
	E2E_ADMIN=127.$FLEET_NET.1.1:8100
	fleet_until 400 e2e_is_joined || die "the nodes did not join one tree"
}

placing() {
	fleet_get "http://127.$FLEET_NET.1.1:8100/placing"
}

# Prints the speed of the N-th target in percent.
speed() { # N
	placing | grep -o "klang-$1\":{\"speed\":[0-9]*" | grep -o '[0-9]*$'
}

is_below() { # NUMBER LIMIT
	[ "${1:-999}" -lt "$2" ] && echo yes || echo no
}

start_nodes
curl -s -X POST -d '{"type":"rules","number":2}' \
    "http://$FLEET_LOG/streams/config/records" >/dev/null
e2e_submit <<-EOF >/dev/null || die "the patch was refused"
	{"services": {"forge": {"balance": "work"}},
	 "endpoint_sets": {"forge": {"service": "forge"}},
	 "routes": {"/f": {"service": "forge", "endpoint_set": "forge"}}}
EOF
fleet_until 200 e2e_is_served 1-1 /f/x || die "no request was served"
for i in $(seq 200); do
	curl -s -m 5 -o /dev/null "http://127.$FLEET_NET.1.1:8000/f/$i" &
	[ $((i % 4)) -ne 0 ] || wait
done
wait
say "the slow target is known to be slow: $(is_below "$(speed 3)" 50)"
say "the others are not: $(is_below 80 "$(speed 1)")" \
    "$(is_below 80 "$(speed 2)")"
say "nothing leaves the failure domain:" \
    "$(placing | grep -c '"domain":{"share":100,')"
