# Functions that send a crowd of clients that do not behave to a node, and check
# what holds whatever the speed of the machine: that processes live, that their
# memory and their open descriptors stay under their limits, and that ordinary
# requests are answered.  Source it after regress/stand/platform.sh.

# Limits of each node, as the platform's settings name them.
CROWD_MEMORY_MB=64
CROWD_FDS=4100
CROWD_BODY_BYTES=4194304
# Time that a crowd has until an ordinary request comes beside it, in s.
CROWD_SECONDS=3
# Descriptors of max_fds that the platform keeps for files.
CROWD_FILE_FDS=200
# Descriptors that the kernel gives a node, empty: as many as this shell has.
CROWD_KERNEL_FDS=
declare -A CROWD_PEAK_FDS=()

# Starts node 1-1 beside a worker of kiln and 1-2 beside one of ops, with these
# limits, and waits until requests are served.
crowd_start_fleet() {
	local n
	PLATFORM_LIMITS="memory_mb=$CROWD_MEMORY_MB max_fds=$CROWD_FDS"
	PLATFORM_BODY_BYTES=$CROWD_BODY_BYTES
	PLATFORM_WORKER_OPTIONS=${PLATFORM_WORKER_OPTIONS:---slots 16}
	[ -z "$CROWD_KERNEL_FDS" ] || ulimit -Sn "$CROWD_KERNEL_FDS"
	platform_start_fleet 1-1:kiln 1-2:ops || die "the store does not start"
	platform_document 5 kiln ', "r-c": {"hostname": "shop.example",
	 "path_prefix": "/mould/", "type": "unsafe", "timeout_s": 10,
	 "target_latency_s": 3, "priority": 1, "service": "kiln", "attempts": 1}' |
	    platform_put_document
	for n in 1-1 1-2; do
		fleet_until 200 platform_served_by $n /kiln/1 w ||
		    die "$n does not serve"
	done
}

# Prints how many descriptors a node has open, files excepted.
crowd_count_sockets() { # D-I
	ls -l "/proc/${FLEET_PID[$1]}/fd" 2>/dev/null | grep -c 'socket:\|pipe:'
}

crowd_record_sockets() {
	local n count
	for n in 1-1 1-2; do
		count=$(crowd_count_sockets $n)
		[ "$count" -le "${CROWD_PEAK_FDS[$n]:-0}" ] ||
		    CROWD_PEAK_FDS[$n]=$count
	done
}

# Sends an ordinary order, as clients do: up to three times while a node refuses
# it or no answer comes.
crowd_request() { # D-I
	local i status
	for i in 1 2 3; do
		status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST \
		    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: o.$RANDOM" \
		    -d pattern=peranakan \
		    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000/mould/1")
		[ "$status" != 200 ] || { echo answered; return; }
		echo "$1: $status" >&2
		sleep 0.2
	done
	echo "not answered, last status $status"
}

# Asks for a large answer, or sends a large body, as clients do: again while a
# node refuses it.
crowd_large_request() { # D-I PATH CURL-OPTION...
	local i status url="http://127.$FLEET_NET.${1%-*}.${1#*-}:8000$2"
	shift 2
	for i in $(seq 20); do
		status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
		    -H 'Host: shop.example' -H "Jacinthdyke-Request-Id: l.$RANDOM" \
		    "$@" "$url")
		[ "$status" != 200 ] || { echo answered; return; }
		echo "large: $status" >&2
		sleep 0.5
	done
	echo "not answered, last status $status"
}

# Starts a crowd at a node.
crowd_start() { # D-I SHAPE OPTION...
	crowd_start_at "$1" 8000 "${@:2}"
}

# The same at one of the ports of a node.
crowd_start_at() { # D-I PORT SHAPE OPTION...
	local n=$1 port=$2 shape=$3
	shift 3
	# The limit of the kernel is for nodes only.
	ulimit -Sn "$(ulimit -Hn)"
	"$FLEET_BIN/jd-crowd" --to "127.$FLEET_NET.${n%-*}.${n#*-}:$port" \
	    --shape "$shape" --host shop.example --path /mould/crowd \
	    "$@" >>"$FLEET_DIR/crowd.log" 2>&1 &
	fleet_track crowd-$n-$port-$shape
}

# Sends an ordinary request to each of the nodes beside the crowds, and one more
# once they have gone.
crowd_watch() { # D-I...
	local n name
	sleep $CROWD_SECONDS
	crowd_record_sockets
	for n in "$@"; do
		say "ordinary request to $n beside the crowd: $(crowd_request $n)"
	done
	crowd_record_sockets
	for name in "${!FLEET_PID[@]}"; do
		case $name in
		crowd-*)
			fleet_kill "$name" TERM
			fleet_until 200 fleet_is_gone "$name" || die "$name stays"
			;;
		esac
	done
	cat "$FLEET_DIR/crowd.log" >&2
	for n in "$@"; do
		say "ordinary request to $n after it: $(crowd_request $n)"
	done
}

# Prints whether a node lives and has stayed within its memory and descriptors.
crowd_check() { # D-I
	local pid=${FLEET_PID[$1]} peak sockets=${CROWD_PEAK_FDS[$1]:-0} why=""
	peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$pid/status" 2>/dev/null)
	echo "$1: peak ${peak:-?} kB, $sockets sockets" >&2
	[ -n "$peak" ] || { say "$1 has ended"; return; }
	[ "$peak" -le $((CROWD_MEMORY_MB * 1000)) ] || why="$why memory"
	[ "$sockets" -le $((CROWD_FDS - CROWD_FILE_FDS)) ] || why="$why descriptors"
	[ -z "$why" ] && say "$1 lives, within its limits" ||
	    say "$1 lives, over its limit of$why"
}

# Checks that large answers and bodies pass beside a crowd that holds answers.
crowd_check_large() { # D-I
	head -c 1048576 /dev/zero >"$FLEET_DIR/large"
	sleep $CROWD_SECONDS
	say "a large answer to $1 beside the crowd:" \
	    "$(crowd_large_request "$1" /kiln/answer-1048576/)"
	say "a large body to $1 beside the crowd:" \
	    "$(crowd_large_request "$1" /kiln/1 --data-binary "@$FLEET_DIR/large")"
}

# A whole test of one crowd: node 1-2 gets it, node 1-1 is the target's.
crowd_test() { # SHAPE OPTION...
	crowd_start_fleet
	crowd_start 1-2 "$@"
	crowd_watch 1-2
	crowd_check 1-1
	crowd_check 1-2
}
