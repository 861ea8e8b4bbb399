#!/usr/bin/env bash
# Measures recovery from mass restarts, link faults and a log outage, with as
# many nodes as one machine can run.  Prints one JSON line for each fault: the
# time until every node applied the newest version, counted from the end of the
# fault or, for root-killed, root-frozen and region-silent, from its start.
#
# storms.sh [NODES-PER-DOMAIN [PRESET [FAULT]]]; FAULT selects a single one.
set -u
cd "$(dirname "$0")/.." || exit 1
N=${1:-50}
FLEET_PRESET=${2:-convergence}
SELECTED=${3:-}
LOG_DOWN_S=${LOG_DOWN_S:-60}
FLEET_LINKS=yes
FLEET_DIR=$(mktemp -d)
. load/fleet.sh
trap 'fleet_end; rm -rf "$FLEET_DIR"' EXIT
NODES=1:$N,2:$N,3:$N,4:$N
TOTAL=$((4 * N))
VERSION=0

now_us() {
	echo $(($(date +%s%N) / 1000))
}

start_domain() { # D
	local i
	for i in $(seq $N); do
		fleet_start_node "$1" "$i"
	done
}

kill_domain() { # D
	local i
	for i in $(seq $N); do
		kill -KILL "${FLEET_PID[$1-$i]}" 2>/dev/null
	done
	for i in $(seq $N); do
		fleet_kill "$1-$i"
	done
}

# Submits a patch that creates the next version.
submit() {
	cat >"$FLEET_DIR/patch.json" <<EOF
{"base": $VERSION, "patch": {"policies": {"storm": {"deadline_ms":
 $((1000 + VERSION))}}}}
EOF
	fleet_ctl --timeout 20 submit "$FLEET_DIR/patch.json" >/dev/null &&
	    VERSION=$((VERSION + 1))
}

has_all_nodes() {
	local d js
	for d in 1 2 3 4; do
		js=$(fleet_ctl --json --node 127.$FLEET_NET.$d.1:8100 status) || return 1
		case $js in
		*"\"count\":$TOTAL,"*) ;;
		*) return 1 ;;
		esac
	done
}

# Waits until node 1 of every domain counts all nodes in the tree.
wait_for_all_nodes() {
	fleet_until 400 has_all_nodes || {
		echo "storms: not all nodes joined the tree" >&2
		fleet_diagnose
		for d in 1 2 3 4; do
			fleet_ctl --json --node 127.$FLEET_NET.$d.1:8100 status >&2
		done
	}
}

# Prints the delay of the newest version; fails if a node has not applied it.
check_applied() { # SINCE [EXCEPT]
	build/jd-load since $FLEET_NET/$NODES $VERSION "$@"
}

# Waits until every node applied the newest version and prints the result.
report_recovery() { # NAME SINCE [EXCEPT]
	local name=$1
	shift
	fleet_until 100 check_applied "$@" || {
		fleet_diagnose
		echo "links: $(ps -o stat=,time= -p "${FLEET_PID[links]}")" >&2
		tail -n 20 "$FLEET_DIR/fault.err" >&2
	}
	echo "{\"fault\": \"$name\", \"preset\": \"$FLEET_PRESET\"," \
	    "\"result\": $(check_applied "$@")}"
}

is_selected() { # NAME
	[ -z "$SELECTED" ] || [ "$SELECTED" = "$1" ]
}

# Prints the root of the tree, as "D-I".
find_root() {
	fleet_ctl --json --node 127.$FLEET_NET.1.1:8100 status |
	    sed 's/.*"root_admin":"127\.[0-9]*\.\([0-9]*\)\.\([0-9]*\):.*/\1-\2/'
}

fleet_start_links && fleet_start_log || exit 1
for d in 1 2 3 4; do
	for i in $(seq $N); do
		fleet_settings $d "$i"
	done
	start_domain $d
done
wait_for_all_nodes
submit
report_recovery start 0 >/dev/null

if is_selected domain-killed; then
	kill_domain 4
	submit
	since=$(now_us)
	start_domain 4
	report_recovery domain-killed "$since"
	wait_for_all_nodes
fi
if is_selected all-killed; then
	for d in 1 2 3 4; do kill_domain $d; done
	submit
	since=$(now_us)
	for d in 1 2 3 4; do start_domain $d; done
	report_recovery all-killed "$since"
	wait_for_all_nodes
fi
if is_selected root-killed; then
	root=$(find_root)
	fleet_kill "$root"
	since=$(now_us)
	submit
	fleet_start_node "${root%-*}" "${root#*-}"
	report_recovery root-killed "$since"
	wait_for_all_nodes
fi
if is_selected root-frozen; then
	root=$(find_root)
	fleet_kill "$root" STOP
	since=$(now_us)
	submit
	# All other nodes must apply the version while the root is stopped.
	report_recovery root-frozen "$since" "$root"
	fleet_kill "$root" CONT
	since=$(now_us)
	report_recovery root-thawed "$since"
	wait_for_all_nodes
fi
if is_selected region-cut; then
	for d in 3 4; do
		fleet_fault "from=1&to=$d&mode=cut"
		fleet_fault "from=2&to=$d&mode=cut"
		fleet_fault "from=$d&to=1&mode=cut"
		fleet_fault "from=$d&to=2&mode=cut"
	done
	submit
	sleep 8
	since=$(now_us)
	fleet_fault "mode=none"
	report_recovery region-cut "$since"
	wait_for_all_nodes
fi
if is_selected region-silent; then
	for d in 3 4; do
		fleet_fault "from=1&to=$d&mode=silence-old"
		fleet_fault "from=2&to=$d&mode=silence-old"
		fleet_fault "from=$d&to=1&mode=silence-old"
		fleet_fault "from=$d&to=2&mode=silence-old"
	done
	since=$(now_us)
	submit
	report_recovery region-silent "$since"
	fleet_fault "mode=none"
	wait_for_all_nodes
fi
if is_selected log-down; then
	curl -s "http://$FLEET_LOG/control?mode=down" >/dev/null
	sleep "$LOG_DOWN_S"
	since=$(now_us)
	curl -s "http://$FLEET_LOG/control?mode=up" >/dev/null
	submit
	report_recovery log-down "$since"
fi
