# Functions that run a fleet of processes on the loopback network.  Source this
# file after FLEET_DIR has been set to a directory for settings and logs.
#
# Node I of failure domain D has the address 127.N.D.I and is named "D-I"; the
# log has 127.N.200.1.  Each run locks a network number N of its own, so that
# several can run at once.

FLEET_BIN=${FLEET_BIN:-build}
# Locks the first network number that no other run uses, until the shell ends.
fleet_lock_network() {
	local lock
	for FLEET_NET in $(seq 20 250); do
		exec {lock}>"/tmp/jacinthdyke-network.$FLEET_NET"
		flock -n "$lock" && return 0
		exec {lock}>&-
	done
	echo "fleet: no network from 20 to 250 is free" >&2
	exit 1
}
[ -n "${FLEET_NET:-}" ] || fleet_lock_network
export FLEET_NET
FLEET_LOG=127.$FLEET_NET.200.1:6000
# Ports of the link emulator for peers and for the log.  It listens on all
# loopback addresses, so that the ports depend on the network number.
FLEET_LINK_PEER=$((20000 + FLEET_NET))
FLEET_LINK_LOG=$((21000 + FLEET_NET))
# Preset and further lines for the settings of each node.
FLEET_PRESET=${FLEET_PRESET:-convergence}
FLEET_EXTRA=${FLEET_EXTRA:-}
# Failure domains and their regions; numbering starts at 1.
FLEET_DOMAINS=(none klang penang kuching kota-kinabalu)
FLEET_REGIONS=(none semenanjung semenanjung borneo borneo)
# If set, nodes reach other failure domains through the link emulator.
FLEET_LINKS=${FLEET_LINKS:-}
declare -A FLEET_PID # process ids by name
trap "exit 1" TERM INT

# Records the id of the last background process under a name.  The shell disowns
# it, so that its end is not reported.
fleet_track() { # NAME
	FLEET_PID[$1]=$!
	disown $!
}

fleet_is_gone() { # NAME
	! kill -0 "${FLEET_PID[$1]}" 2>/dev/null
}

# Kills all recorded processes and waits until they are gone.
fleet_end() {
	local name
	for name in "${!FLEET_PID[@]}"; do
		kill -KILL "${FLEET_PID[$name]}" 2>/dev/null
	done
	for name in "${!FLEET_PID[@]}"; do
		fleet_until 100 fleet_is_gone "$name"
	done
	FLEET_PID=()
}

# Sends a signal to a process; after KILL, waits until it is gone.
fleet_kill() { # NAME [SIGNAL]
	kill "-${2:-KILL}" "${FLEET_PID[$1]}" 2>/dev/null
	if [ "${2:-KILL}" = KILL ]; then
		fleet_until 100 fleet_is_gone "$1"
		unset "FLEET_PID[$1]"
	fi
	return 0
}

fleet_start_log() {
	"$FLEET_BIN/jd-logd" --listen $FLEET_LOG "$@" \
	    >>"$FLEET_DIR/log.log" 2>>"$FLEET_DIR/log.err" &
	fleet_track log
	fleet_until 100 fleet_get http://$FLEET_LOG/stats
}

# Runs a command every 50 ms until it succeeds, at most TIMES times; fails if it
# never did.
fleet_until() { # TIMES COMMAND...
	local n=$1
	shift
	while ! "$@" >/dev/null 2>&1; do
		n=$((n - 1))
		[ $n -gt 0 ] || return 1
		sleep 0.05
	done
}

fleet_get() { # URL
	curl -sf -m 3 "$1"
}

# Prints the "translate" setting that routes connections from nodes of domain D
# to other domains, and to the log in domain 1, through the link emulator.
fleet_translate() { # D
	local e out=""
	for e in 1 2 3 4; do
		[ "$e" = "$1" ] || out="$out,127.$FLEET_NET.$e=127.$((10 + $1)).$e:$FLEET_LINK_PEER"
	done
	[ "$1" = 1 ] || out="$out,127.$FLEET_NET.200=127.$((10 + $1)).200:$FLEET_LINK_LOG"
	echo "${out#,}"
}

# Starts the link emulator: 1 ms between failure domains, 20 ms and 30 Mbit/s
# between regions.
fleet_start_links() {
	"$FLEET_BIN/jd-faultd" --admin 127.$FLEET_NET.250.1:7500 --network $FLEET_NET \
	    --port $FLEET_LINK_PEER=7000 --port $FLEET_LINK_LOG=6000 \
	    --regions 1,2/3,4 --domain-us 1000 \
	    --region-us 20000 --region-bits 30000000 \
	    >>"$FLEET_DIR/fault.log" 2>>"$FLEET_DIR/fault.err" &
	fleet_track links
	fleet_until 100 fleet_get http://127.$FLEET_NET.250.1:7500/stats
}

# Sets a fault of the link emulator.
fleet_fault() { # QUERY
	curl -sf -m 3 -X POST "http://127.$FLEET_NET.250.1:7500/fault?$1" >/dev/null
}

# Writes the settings of a node.
fleet_settings() { # D I [SERVICE SET SLOTS CONNECTIONS]
	local ip=127.$FLEET_NET.$1.$2 translate=""
	[ -z "$FLEET_LINKS" ] ||
	    translate="\"translate\": \"$(fleet_translate "$1")\","
	cat >"$FLEET_DIR/$1-$2.json" <<EOF
{"node": "${FLEET_DOMAINS[$1]}-$2", "region": "${FLEET_REGIONS[$1]}",
 "failure_domain": "${FLEET_DOMAINS[$1]}", "peer": "$ip:7000",
 "caller": "$ip:8000", "admin": "$ip:8100", $translate $FLEET_EXTRA
 "preset": "$FLEET_PRESET",
 "log": {"address": "$FLEET_LOG", "region": "semenanjung"}
EOF
	if [ -n "${3:-}" ]; then
		cat >>"$FLEET_DIR/$1-$2.json" <<EOF
, "target": {"address": "$ip:9000", "service": "$3", "endpoint_set": "$4",
 "slots": $5, "connections": $6}
EOF
	fi
	echo "}" >>"$FLEET_DIR/$1-$2.json"
}

fleet_start_node() { # D I
	"$FLEET_BIN/jacinthd" --settings "$FLEET_DIR/$1-$2.json" \
	    >>"$FLEET_DIR/$1-$2.log" 2>>"$FLEET_DIR/$1-$2.err" &
	fleet_track $1-$2
}

fleet_start_target() { # D I [SERVICE_US]
	"$FLEET_BIN/jd-targetd" --listen "127.$FLEET_NET.$1.$2:9000" \
	    --name "${FLEET_DOMAINS[$1]}-$2" --service-us "${3:-0}" \
	    --slots "${TARGET_SLOTS:-0}" \
	    >>"$FLEET_DIR/$1-$2.target.log" 2>>"$FLEET_DIR/$1-$2.target.err" &
	fleet_track target-$1-$2
}

# Prints the nodes that do not answer, with process state, log and stack.
fleet_diagnose() {
	local name pid
	for name in "${!FLEET_PID[@]}"; do
		case $name in
		[0-9]*-[0-9]*) ;;
		*) continue ;;
		esac
		fleet_get "http://127.$FLEET_NET.${name%-*}.${name#*-}:8100/status" \
		    >/dev/null && continue
		pid=${FLEET_PID[$name]}
		echo "no answer: $name $(ps -o stat=,time=,wchan= -p "$pid")"
		tail -n 3 "$FLEET_DIR/$name.err" "$FLEET_DIR/$name.log"
		! command -v gdb >/dev/null ||
		    timeout 20 gdb -p "$pid" -batch -ex bt 2>/dev/null |
		    grep '^#' | head -n 20
	done >&2
}

fleet_ctl() {
	"$FLEET_BIN/jacinthctl" --log $FLEET_LOG "$@"
}

# Prints the sum of a counter over nodes, each named "D-I".
fleet_sum() { # COUNTER NODE...
	local name=$1 n sum=0 v
	shift
	for n in "$@"; do
		v=$(fleet_get "http://127.$FLEET_NET.${n%-*}.${n#*-}:8100/metrics" |
		    awk -v c="jacinthd_$name" '$1 == c { print $2 }')
		sum=$((sum + ${v:-0}))
	done
	echo $sum
}
