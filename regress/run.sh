#!/usr/bin/env bash
# Runs the tests named by the arguments (unit, parts, sim, e2e, soak, or
# KIND/NAME), or all of them: unit tests, scripted runs of the parts, seeded
# random runs, runs of real processes, and a short fault soak.  Tests
# that KNOWN-RED.txt lists at a line's start are printed but do not count.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
passed=0
failed=0
red=0
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

is_known_red() { # NAME
	[ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}

verdict() { # NAME RESULT
	if [ "$2" -eq 0 ]; then
		passed=$((passed + 1))
		echo "ok      $1"
	elif is_known_red "$1"; then
		red=$((red + 1))
		echo "RED     $1 (known, see KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  $1"
	fi
}

# Compares what a command prints with an expected file.
compare() { # NAME EXPECTED COMMAND...
	local name=$1 expected=$2
	shift 2
	timeout 300 "$@" >"$out/got" 2>"$out/err"
	local rc=$?
	if diff -u "$expected" "$out/got" >"$out/diff" && [ $rc -eq 0 ]; then
		verdict "$name" 0
	else
		verdict "$name" 1
		head -n 40 "$out/diff"
		tail -n 20 "$out/err"
	fi
}

run_one() { # NAME
	local kind=${1%%/*} test=${1#*/}
	case $kind in
	unit)
		"$BUILD/unit" >"$out/got" 2>&1
		verdict "$1" $? && tail -n 3 "$out/got" | grep failed
		;;
	parts)
		compare "$1" "regress/parts/$test.out" \
		    "$BUILD/script" <"regress/parts/$test.in"
		;;
	sim)
		# The fixed seeds, then those that once found a fault.
		preset=${test%-seeds*}
		opts=
		[ "${preset#unknown-}" = "$preset" ] || opts=-u
		[ "${preset#cold-}" = "$preset" ] || opts="-c -u -n 48"
		preset=${preset#unknown-}
		preset=${preset#cold-}
		timeout 300 "$BUILD/sim" $opts -p "$preset" \
		    ${SIM_SEEDS:-1 40} >"$out/got" 2>&1
		rc=$?
		for seed in 137 228 316 372; do
			timeout 60 "$BUILD/sim" $opts -p "$preset" $seed \
			    >>"$out/got" 2>&1 || rc=1
		done
		verdict "$1" $rc
		grep -v passed "$out/got" | head -n 10
		;;
	soak)
		# The first, and those in which nodes hung: their timers wrote to
		# and closed sockets outside the library's round (unit/loop).
		rc=0
		: >"$out/got"
		for seed in 7 101 123 130; do
			timeout 120 bash regress/soak/soak.sh $seed 1 5 8 \
			    >>"$out/got" 2>&1 || rc=1
		done
		verdict "$1" $rc
		[ $rc -eq 0 ] || head -n 20 "$out/got"
		;;
	e2e)
		compare "$1" "regress/e2e/$test.out" \
		    bash "regress/e2e/$test.sh"
		;;
	*)
		echo "no such test: $1"
		failed=$((failed + 1))
		;;
	esac
}

list() {
	local f
	echo unit/all
	for f in regress/parts/*.in; do
		f=${f##*/}
		echo "parts/${f%.in}"
	done
	echo sim/convergence-seeds
	echo sim/control-bytes-seeds
	echo sim/unknown-convergence-seeds
	echo sim/cold-convergence-seeds
	echo soak/seeds
	for f in regress/e2e/*.sh; do
		f=${f##*/}
		[ "$f" = lib.sh ] || echo "e2e/${f%.sh}"
	done
}

# A kind by itself stands for all of its tests.
expand() { # NAME...
	local t
	for t in "$@"; do
		case $t in
		*/*) echo "$t" ;;
		*) list | grep "^$t/" ;;
		esac
	done
}

[ $# -gt 0 ] || set -- unit parts sim e2e soak
for t in $(expand "$@"); do
	run_one "$t"
done
[ $red -eq 0 ] || echo "known red: $red"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
