# Functions of the tests of real processes; source it from the root of the tree.
# A test waits for events, with a bound far above the time that they take.  No
# result depends on a fixed delay.  The argument D-I means node I of failure
# domain D, or the target beside it.
FLEET_DIR=$(mktemp -d)
FLEET_BIN=${BUILD:-build}
. load/fleet.sh
trap 'fleet_end; rm -rf "$FLEET_DIR"' EXIT
VERSION=0 # newest version that this test submitted

say() {
	echo "$*"
}

die() {
	echo "failed: $*"
	fleet_diagnose
	tail -n 5 "$FLEET_DIR"/*.err "$FLEET_DIR"/*.log >&2
	exit 1
}

# Starts the log and N nodes in each DOMAIN, with a target each if E2E_TARGET is
# set, and waits until all nodes list each other.
e2e_start() { # N DOMAIN...
	local n=$1 d i
	shift
	fleet_start_log $E2E_LOG_OPTIONS || die "the log did not start"
	for d in "$@"; do
		for i in $(seq "$n"); do
			fleet_settings "$d" "$i" $E2E_TARGET
			[ -z "$E2E_TARGET" ] || fleet_start_target "$d" "$i" \
			    ${E2E_SERVICE_US:-0}
			fleet_start_node "$d" "$i"
		done
	done
	E2E_TOTAL=$((n * $#))
	E2E_ADMIN=127.$FLEET_NET.$1.1:8100
	fleet_until 400 e2e_is_joined || die "the nodes did not join one tree"
}
E2E_LOG_OPTIONS=
E2E_TARGET= # SERVICE SET SLOTS CONNECTIONS of the targets, empty: no targets

# Starts the log, node 1-1 without a target and node 3-1 with one of archive-kiln,
# in another region, and waits until both list each other.
e2e_start_pair() {
	fleet_start_log || die "the log did not start"
	fleet_settings 1 1
	fleet_start_node 1 1
	fleet_settings 3 1 archive-kiln kiln 64 130
	fleet_start_target 3 1 0
	fleet_start_node 3 1
	E2E_TOTAL=2
	E2E_ADMIN=127.$FLEET_NET.1.1:8100
	fleet_until 400 e2e_is_joined || die "the nodes did not join one tree"
}

e2e_is_joined() {
	fleet_ctl --json --node $E2E_ADMIN status |
	    grep -q "\"count\":$E2E_TOTAL,"
}

# Submits the patch on standard input, based on $VERSION.
e2e_submit() {
	printf '{"base": %s, "author": "test", "patch": %s}' $VERSION \
	    "$(cat)" >"$FLEET_DIR/patch.json"
	fleet_ctl --timeout 20 submit "$FLEET_DIR/patch.json" &&
	    VERSION=$((VERSION + 1))
}

# Prints a field of a node's status.
e2e_status() { # D-I FIELD
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:8100/status" |
	    tr ',{}' '\n\n\n' | sed -n "s/^\"$2\":\"\{0,1\}\([^\"]*\)\"\{0,1\}$/\1/p"
}

e2e_has() { # D-I FIELD VALUE
	[ "$(e2e_status "$1" "$2")" = "$3" ]
}

# Prints a counter of a node.
e2e_counter() { # D-I NAME
	fleet_sum "$2" "$1"
}

# Prints a number from a target's /-/stats; FIELD may be an idempotency key, which
# gives how often that request ran.
e2e_target_stat() { # D-I FIELD
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:9000/-/stats" |
	    tr ',{}' '\n\n\n' | sed -n "s/^\"$2\":\(.*\)$/\1/p"
}

# Sets the fault mode of a target.
e2e_control_target() { # D-I QUERY
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:9000/-/control?$2" >/dev/null
}

# Sends a request and prints its status, outcome and reason.
e2e_request() { # D-I PATH CURL-OPTION...
	local n=$1 path=$2
	shift 2
	curl -s -m 20 -o /dev/null -D "$FLEET_DIR/head" "$@" \
	    "http://127.$FLEET_NET.${n%-*}.${n#*-}:8000$path" || echo "curl $?"
	awk 'NR == 1 { printf "%s", $2 }
	    tolower($1) == "x-outcome:" { printf " %s", $2 }
	    tolower($1) == "x-reason:" { printf " %s", $2 }
	    tolower($1) == "retry-after:" { printf " retry-after" }
	    END { print "" }' "$FLEET_DIR/head" | tr -d '\r'
}

# Tells whether a request to PATH succeeds.
e2e_is_served() { # D-I PATH
	curl -sf -m 5 "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000$2" >/dev/null
}

# Sets a fault mode on the links from the first region to the second, or in both
# directions.
fault_between_regions() { # MODE [both]
	local a b
	for a in 1 2; do for b in 3 4; do
		fleet_fault "from=$a&to=$b&mode=$1"
		[ "${2:-}" != both ] || fleet_fault "from=$b&to=$a&mode=$1"
	done; done
}
