# Crowds at the ports of a node that are not for callers: more connections than
# each may have, which are idle or stop within a head.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
CROWD_FDS=600

# Prints whether a port answers.
ask_port() { # D-I PORT PATH
	local status
	status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	    "http://127.$FLEET_NET.${1%-*}.${1#*-}:$2$3")
	[ "$status" != 000 ] && echo answered || echo not answered
}

crowd_start_fleet
for port in 7000 8100 8200 8300; do
	crowd_start_at 1-1 $port idle --count 150
done
for port in 8100 8200 8300; do
	crowd_start_at 1-1 $port head --count 150 --body 20000
done
sleep $CROWD_SECONDS
crowd_record_sockets
say "the readiness of 1-1 beside the crowds: $(ask_port 1-1 8200 /ready)"
say "its operators beside them: $(ask_port 1-1 8100 /metrics)"
say "its worker beside them: $(ask_port 1-1 8300 /)"
fleet_kill 1-2
fleet_start_node 1 2
fleet_until 100 platform_is_ready 1-2
say "1-2, started again beside them: $(platform_is_ready 1-2 >/dev/null && echo ready)"
crowd_watch 1-2
crowd_check 1-1
crowd_check 1-2
