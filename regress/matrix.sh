#!/usr/bin/env bash
# Fault matrix: injects each fault at each step of the processing of a patch and
# of a request with an idempotency key.  Prints a table with one cell a line:
# passed, failed or not run.  Faults begin and end on events that the test
# observes, not after fixed times; --timeout bounds each submit.
cd "$(dirname "$0")/.." || exit 1
. regress/e2e/lib.sh
ALL="1-1 1-2 1-3 2-1 2-2 2-3 3-1 3-2 3-3 4-1 4-2 4-3"
passed=0
failed=0
not_run=0

report_cell() { # FAULT STEP RESULT
	printf '%-14s %-16s %s\n' "$1" "$2" "$3"
	case $3 in
	passed) passed=$((passed + 1)) ;;
	"not run"*) not_run=$((not_run + 1)) ;;
	*) failed=$((failed + 1)) ;;
	esac
}

# ---- patches ---------------------------------------------------------------

# Prints the node that most domains report as the root.
find_root() {
	local d
	for d in 1 2 3 4; do
		fleet_ctl --json --node 127.$FLEET_NET.$d.2:8100 status 2>/dev/null |
		    sed -n 's/.*"root_admin":"127\.[0-9]*\.\([0-9]*\)\.\([0-9]*\):.*/\1-\2/p'
	done | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }'
}

# Prints a domain head of the region that does not hold the log.
find_remote_head() {
	local n
	for n in 3-1 3-2 3-3 4-1 4-2 4-3; do
		[ "$(e2e_status $n head_rank)" = 0 ] || {
			echo $n
			return
		}
	done
}

log_mode() { # MODE
	curl -s "http://$FLEET_LOG/control?mode=$1" >/dev/null
}

begin_fault() { # FAULT
	case $1 in
	kill-root | freeze-root) victim=$(find_root) ;;
	kill-head | freeze-head) victim=$(find_remote_head) ;;
	esac
	case $1 in
	kill-*) fleet_kill "$victim" ;;
	freeze-*) fleet_kill "$victim" STOP ;;
	cut) fault_between_regions cut both ;;
	one-way) fault_between_regions silence ;;
	silence-old) fault_between_regions silence-old both ;;
	truncate) fault_between_regions truncate both ;;
	duplicate) fault_between_regions duplicate both ;;
	log-down) log_mode down ;;
	log-hang) log_mode hang ;;
	esac
}

# Ends a fault.  Killed processes are started again, frozen ones resumed.
end_fault() { # FAULT
	case $1 in
	kill-*) fleet_start_node "${victim%-*}" "${victim#*-}" ;;
	freeze-*) fleet_kill "$victim" CONT ;;
	log-*) log_mode up ;;
	*) fleet_fault mode=none ;;
	esac
}

# Submits a patch with an id that stays the same when it is tried again.
submit() {
	printf '{"base": %s, "patch": {"policies": {"p": {"deadline_ms": %s}}}}' \
	    $VERSION $((1000 + VERSION)) >"$FLEET_DIR/patch.json"
	fleet_ctl --timeout 3 --id "matrix-$VERSION" submit \
	    "$FLEET_DIR/patch.json" >"$FLEET_DIR/submit" 2>&1
}

# Submits until the patch is accepted.  It must become exactly the next version,
# also when an earlier attempt ended with an unknown result.
submit_until_accepted() {
	local attempt
	for attempt in 1 2 3 4 5 6 7 8 9 10; do
		submit && break
	done
	grep -q "version $((VERSION + 1))$" "$FLEET_DIR/submit" || return 1
	VERSION=$((VERSION + 1))
}

# Checks that every node holds the newest version with the same digest, and that
# the version of no node ever decreased.  Prints the result of the cell.
check_nodes() {
	local n
	for n in $ALL; do
		fleet_until 400 e2e_has "$n" version $VERSION || {
			echo "failed: $n lacks version $VERSION"
			return 1
		}
	done
	if [ "$(for n in $ALL; do e2e_status "$n" digest; done |
	    sort -u | wc -l)" != 1 ]; then
		echo "failed: digests differ"
		return 1
	fi
	for n in $ALL; do
		fleet_get "http://127.$FLEET_NET.${n%-*}.${n#*-}:8100/applied" |
		    grep -o '\[[0-9]*,' | tr -d '[,' >"$FLEET_DIR/versions"
		sort -n -c "$FLEET_DIR/versions" 2>/dev/null || {
			echo "failed: the version of $n decreased"
			return 1
		}
	done
	echo passed
}

patch_cell() { # FAULT STEP
	case $2 in
	before-append)
		begin_fault "$1"
		submit
		end_fault "$1"
		submit_until_accepted || {
			report_cell "$1" "$2" "failed: $(cat "$FLEET_DIR/submit")"
			return
		}
		;;
	response-lost)
		case $1 in log-*)
			report_cell "$1" "$2" "not run (jd-logd has one fault mode at a time)"
			return
			;;
		esac
		log_mode lose-answers
		begin_fault "$1"
		submit
		log_mode up
		end_fault "$1"
		submit_until_accepted || {
			report_cell "$1" "$2" "failed: $(cat "$FLEET_DIR/submit")"
			return
		}
		;;
	in-transit)
		# 300 ms of extra delay between the regions keep the version in
		# transit while the fault is injected.
		for a in 1 2; do for b in 3 4; do
			fleet_fault "from=$a&to=$b&extra_ms=300"
		done; done
		submit_until_accepted || {
			report_cell "$1" "$2" "failed: $(cat "$FLEET_DIR/submit")"
			return
		}
		begin_fault "$1"
		end_fault "$1"
		fleet_fault mode=none
		;;
	after-append)
		submit_until_accepted || {
			report_cell "$1" "$2" "failed: $(cat "$FLEET_DIR/submit")"
			return
		}
		begin_fault "$1"
		# The fault lasts until a node of the first region has the version.
		fleet_until 100 e2e_has 1-3 version $VERSION
		end_fault "$1"
		;;
	esac
	report_cell "$1" "$2" "$(check_nodes)"
}

run_patches() {
	local fault step
	FLEET_LINKS=yes
	fleet_start_links || die "the link emulator did not start"
	e2e_start 3 1 2 3 4
	for fault in kill-root freeze-root kill-head freeze-head cut one-way \
	    silence-old truncate duplicate log-down log-hang; do
		for step in before-append response-lost after-append in-transit; do
			patch_cell $fault $step
		done
	done
	fleet_end
	FLEET_LINKS=
	VERSION=0
}

# ---- requests with an idempotency key --------------------------------------

start_keyed_fleet() {
	E2E_TARGET="greidslur pay 6 120"
	E2E_SERVICE_US=100000
	e2e_start 2 1
	e2e_submit >/dev/null <<'EOF'
{"services": {"greidslur": {"policy": "order"}},
 "policies": {"order": {"once": true, "deadline_ms": 2000}},
 "endpoint_sets": {"pay": {"service": "greidslur"}},
 "routes": {"/charge": {"service": "greidslur", "endpoint_set": "pay"}}}
EOF
	fleet_until 400 e2e_is_served 1-1 /charge || die "/charge is not served"
	fleet_until 400 e2e_is_served 1-2 /charge || die "/charge is not served"
}

count_runs() { # KEY: prints how often both targets ran it
	local a b
	a=$(e2e_target_stat 1-1 "$1")
	b=$(e2e_target_stat 1-2 "$1")
	echo $((${a:-0} + ${b:-0}))
}

has_run() { # KEY
	[ "$(count_runs "$1")" -gt 0 ]
}

send_keyed() { # NODE KEY: prints the status, outcome and reason
	e2e_request "$1" /charge -X POST -H "idempotency-key: $2"
}

keyed_fault() { # begin|end FAULT
	case $1-$2 in
	begin-kill-node) fleet_kill 1-2 ;;
	end-kill-node) fleet_start_node 1 2 ;;
	begin-freeze-node) fleet_kill 1-2 STOP ;;
	end-freeze-node) fleet_kill 1-2 CONT ;;
	begin-kill-target) fleet_kill target-1-2 ;;
	end-kill-target) fleet_start_target 1 2 100000 ;;
	begin-stall) e2e_control_target 1-1 mode=stall; e2e_control_target 1-2 mode=stall ;;
	end-stall) e2e_control_target 1-1 mode=up; e2e_control_target 1-2 mode=up ;;
	begin-log-down) log_mode down ;;
	begin-log-hang) log_mode hang ;;
	begin-log-lose) log_mode lose-answers ;;
	end-log-*) log_mode up ;;
	begin-drain) fleet_kill 1-2 TERM ;;
	end-drain) fleet_until 400 fleet_is_gone 1-2; fleet_start_node 1 2 ;;
	esac
}

# Sends a request with a key during a fault, then retries it through both nodes.
keyed_cell() { # FAULT STEP
	local key="$1-$2" first retries pid runs lost=0
	case $2 in
	before-sending)
		keyed_fault begin "$1"
		first=$(send_keyed 1-1 "$key")
		;;
	running)
		send_keyed 1-1 "$key" >"$FLEET_DIR/first" &
		pid=$!
		fleet_until 100 has_run "$key"
		# The record of what ran is lost when its target is killed.
		lost=$(e2e_target_stat 1-2 "$key")
		lost=${lost:-0}
		keyed_fault begin "$1"
		wait $pid
		first=$(cat "$FLEET_DIR/first")
		;;
	esac
	case $1 in kill-target) ;; *) lost=0 ;; esac
	runs=$(count_runs "$key")
	keyed_fault end "$1"
	fleet_until 400 e2e_is_served 1-2 /charge
	retries="$(send_keyed 1-2 "$key"), $(send_keyed 1-1 "$key")"
	if [ $(($(count_runs "$key") + lost)) -gt 1 ]; then
		report_cell "$1" "$2" "failed: ran more than once ($first; $retries)"
	elif [ "${first#*not-run}" != "$first" ] && [ "$runs" -gt 0 ]; then
		report_cell "$1" "$2" "failed: reported not-run, but it ran"
	elif [ "${first#200}" != "$first" ] && [ $((runs + lost)) = 0 ]; then
		report_cell "$1" "$2" "failed: answered with 200, but it did not run"
	else
		report_cell "$1" "$2" passed
	fi
}

run_keyed_requests() {
	local fault step
	start_keyed_fleet
	for fault in kill-node freeze-node kill-target stall log-down log-hang \
	    log-lose drain; do
		for step in before-sending running; do
			keyed_cell $fault $step
		done
	done
	fleet_end
}

run_patches
run_keyed_requests
echo "$passed cells passed, $failed failed, $not_run not run"
[ $failed -eq 0 ]
