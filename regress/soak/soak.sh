#!/usr/bin/env bash
# Soak: runs real processes on the loopback network behind the link emulator, with
# signals to nodes, link faults, store faults and replaced workers, while a load
# client sends requests over persistent connections.  The results are checked
# against the records of the client and of the workers, and against the responses
# of each node.
#
# Usage: soak.sh [SEED [COUNT [SECONDS [NODES]]]]
# Runs COUNT seeds from SEED on, with faults for SECONDS each.  NODES must be a
# multiple of 4.  With SOAK_PLAY=stops only planned work is played, with pauses, and
# every request has to be answered: see stops.sh; STOPS_RATE is the number of
# requests a second (60).  If SOAK_KEEP names a directory, the files of failed runs
# are copied there.
set -u
cd "$(dirname "$0")/../.." || exit 1
SEED=${1:-1} COUNT=${2:-1} SECONDS_EACH=${3:-20} NODES=${4:-8}
# Time in s for which requests go on after the last fault.  Within it every node
# must be healthy again, which is checked 10 times for each second, with pauses
# of 50 ms.
RECOVERY_S=15
# Number of kinds of events, of which fewer keep the runs of older seeds.
SOAK_EVENTS=${SOAK_EVENTS:-24}
# Time in us after the acknowledgement that a worker drains or deregisters in
# which it may still get new requests.
DRAIN_US=2500000
# Time in us after the start of a node in which requests may reach its worker
# although the worker had said that it leaves: the node must learn it again.
RESTART_US=1000000
# Time in us from which a rate limit holds after it was first named.
LIMIT_US=3000000
# Requests per second of the client account with a quota, also its burst.
ACCOUNT_RATE=10
export FLEET_LINKS=1
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
passed=0 failed=0

# Runs one seed; must run in a subshell.  Prints the violations, then a summary.
run_seed() { # SEED
	FLEET_DIR=$out/$1
	mkdir "$FLEET_DIR"
	FLEET_BIN=${BUILD:-build}
	. load/fleet.sh
	. regress/stand/platform.sh
	. regress/soak/events.sh
	. regress/soak/stops.sh
	local rc=0
	case ${SOAK_PLAY:-faults} in
	stops) stops_run "$1" || rc=1 ;;
	*) soak_run "$1" || rc=1 ;;
	esac
	# Processes must be ended here: "declare" in fleet.sh made FLEET_PID local
	# to this function.
	fleet_end
	return $rc
}

for seed in $(seq "$SEED" $((SEED + COUNT - 1))); do
	if (run_seed "$seed") >"$out/result" 2>"$out/errors"; then
		passed=$((passed + 1))
		echo "ok      seed $seed: $(tail -n 1 "$out/result")"
	else
		failed=$((failed + 1))
		echo "FAILED  seed $seed"
		tail -n 12 "$out/result"
		tail -n 5 "$out/errors"
		if [ -n "${SOAK_KEEP:-}" ]; then
			mkdir -p "$SOAK_KEEP"
			cp -r "$out/$seed" "$SOAK_KEEP/"
		fi
	fi
	rm -rf "${out:?}/$seed"
done
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
