#!/usr/bin/env bash
# The fault soak: real processes on loopback behind the link emulator, signals
# and a store that misbehaves, callers that keep their connections.  Usage:
# soak.sh SEED COUNT SECONDS NODES, NODES a multiple of 4.  Promises are judged
# from what callers and workers wrote down, and from what each node answers.
set -u
cd "$(dirname "$0")/../.." || exit 1
SEED=${1:-1} COUNT=${2:-1} SECONDS_EACH=${3:-20} NODES=${4:-8}
# Time after the last fault in which everything is in force and served, in s.
HEAL=15
# Time after the acknowledgement in which a leaving worker may get work, in us.
DRAIN_US=2500000
export FLEET_LINKS=1
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
passed=0 failed=0

# One seed, in a shell of its own; its last words are the verdict.
play() { # SEED
	FLEET_DIR=$out/$1
	mkdir "$FLEET_DIR"
	FLEET_BIN=${BUILD:-build}
	. load/fleet.sh
	. regress/stand/platform.sh
	. regress/soak/events.sh
	local rc=0
	soak_run "$1" || rc=1
	# The names of processes are local to this function, as it sourced them.
	fleet_end
	return $rc
}

for seed in $(seq "$SEED" $((SEED + COUNT - 1))); do
	if (play "$seed") >"$out/verdict" 2>"$out/errors"; then
		passed=$((passed + 1))
		echo "ok      seed $seed: $(tail -n 1 "$out/verdict")"
	else
		failed=$((failed + 1))
		echo "FAILED  seed $seed"
		tail -n 12 "$out/verdict"
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
