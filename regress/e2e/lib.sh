# Common to the runs of real processes; source it from the root of the tree.
# Steps wait for events with a bound far above what they need, never for a
# fixed time that decides a verdict.
FLEET_DIR=$(mktemp -d)
FLEET_BIN=${BUILD:-build}
. load/fleet.sh
trap 'fleet_end; rm -rf "$FLEET_DIR"' EXIT
VERSION=0

say() {
	echo "$*"
}

die() {
	echo "failed: $*"
	fleet_diagnose
	tail -n 5 "$FLEET_DIR"/*.err "$FLEET_DIR"/*.log >&2
	exit 1
}

# Starts the log and a fleet of N nodes in each of the domains named.
e2e_start() { # N DOMAIN...
	local n=$1 d i
	shift
	fleet_start_log $E2E_LOG_OPTIONS || die "log"
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
	fleet_until 400 e2e_is_whole || die "the nodes did not join one tree"
}
E2E_LOG_OPTIONS=
E2E_TARGET=

e2e_is_whole() {
	fleet_ctl --json --node $E2E_ADMIN status |
	    grep -q "\"count\":$E2E_TOTAL,"
}

# Submits the patch on standard input against the newest version known here.
e2e_submit() {
	printf '{"base": %s, "author": "test", "patch": %s}' $VERSION \
	    "$(cat)" >"$FLEET_DIR/patch.json"
	fleet_ctl --timeout 20 submit "$FLEET_DIR/patch.json" &&
	    VERSION=$((VERSION + 1))
}

# A field of a node's status.
e2e_status() { # D-I FIELD
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:8100/status" |
	    tr ',{}' '\n\n\n' | sed -n "s/^\"$2\":\"\{0,1\}\([^\"]*\)\"\{0,1\}$/\1/p"
}

e2e_has() { # D-I FIELD VALUE
	[ "$(e2e_status "$1" "$2")" = "$3" ]
}

# A counter of a node.
e2e_counter() { # D-I NAME
	fleet_sum "$2" "$1"
}

# A number from a target's record of what ran.
e2e_ran() { # D-I FIELD
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:9000/-/stats" |
	    tr ',{}' '\n\n\n' | sed -n "s/^\"$2\":\(.*\)$/\1/p"
}

e2e_target() { # D-I QUERY
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

e2e_answers() { # D-I PATH
	curl -sf -m 5 "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000$2" >/dev/null
}

# Sets a fault from the first region to the second, or both ways.
between_regions() { # MODE [both]
	local a b
	for a in 1 2; do for b in 3 4; do
		fleet_fault "from=$a&to=$b&mode=$1"
		[ "${2:-}" != both ] || fleet_fault "from=$b&to=$a&mode=$1"
	done; done
}
