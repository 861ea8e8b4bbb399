#!/usr/bin/env bash
# Runs the measurements and writes docs/MEASUREMENTS.md.  PARTS selects some of
# "parts slopes storms added overload stalled once depth"; sections that are not
# selected keep their last results.
set -u
cd "$(dirname "$0")/.." || exit 1
PARTS=${PARTS:-parts slopes storms added overload stalled once depth}
OUT=${OUT:-docs/MEASUREMENTS.md}
COMMIT=$(git rev-parse --short HEAD 2>/dev/null)
FLEET_DIR=$(mktemp -d)
. load/fleet.sh
trap 'fleet_end; rm -rf "$FLEET_DIR"' EXIT
mkdir -p "$FLEET_DIR/sections" build/bench

# Prints a field of a JSON line.
field() { # NAME LINE
	sed -n "s/.*\"$1\": *\"\{0,1\}\([^,}\"]*\).*/\1/p" <<<"$2"
}

# Writes a section of the page from standard input.
section() { # NAME TITLE
	{
		echo "## $2"
		echo
		echo "\`PARTS=$1 make bench\`, commit $COMMIT," \
		    "$(date -u +%Y-%m-%d)"
		echo
		cat
		echo
	} >"build/bench/$1.md"
	echo "measured: $1" >&2
}

# Spreads nodes evenly over the failure domains, as "1:13,2:12,3:12,4:12".
split_by_domain() { # TOTAL
	local n=$(($1 / 4)) rest=$(($1 % 4)) d out=""
	for d in 1 2 3 4; do
		out="$out,$d:$((n + (d <= rest ? 1 : 0)))"
	done
	echo "${out#,}"
}

start_nodes() { # NODES
	local part d i
	for part in ${1//,/ }; do
		d=${part%:*}
		for i in $(seq "${part#*:}"); do
			fleet_settings "$d" "$i"
			fleet_start_node "$d" "$i"
		done
	done
}

has_joined() { # TOTAL
	fleet_ctl --json --node 127.$FLEET_NET.1.1:8100 status |
	    grep -q "\"count\":$1,"
}

# Prints the bytes that the link emulator sent between regions.
link_bytes() {
	fleet_get http://127.$FLEET_NET.250.1:7500/stats | tr -dc 0-9
}

config_reads() {
	fleet_get http://$FLEET_LOG/stats |
	    sed 's/.*"config":{[^}]*"reads":\([0-9]*\).*/\1/'
}

run_parts() {
	{
		echo "Processor time and sizes of the library's operations on" \
		    "generated documents; a patch changes one entry."
		echo
		echo '```'
		build/jd-load apply
		echo '```'
	} | section parts "Cost of library operations"
}

run_slopes() {
	local total mode nodes res before reads
	FLEET_LINKS=yes
	{
		echo "24 patches at 2 per second (59,000 per day are 0.7 per" \
		    "second), a document of 12 services, 1 ms between failure" \
		    "domains, 20 ms and 30 Mbit/s between regions. In the" \
		    "baseline every node polls the log every 250 ms, without" \
		    "the tree. Bytes between regions are counted by the link" \
		    "emulator, in both directions."
		echo
		echo "| nodes | preset | applied everywhere p50 ms | max ms |" \
		    "control B/s per node | B/s between regions |" \
		    "reads of the config stream | % of a core per node |" \
		    "MB per node |"
		echo "|---|---|---|---|---|---|---|---|---|"
		for total in 25 50 100 200; do
			for mode in convergence control-bytes baseline; do
				nodes=$(split_by_domain $total)
				FLEET_EXTRA=
				FLEET_PRESET=$mode
				if [ $mode = baseline ]; then
					FLEET_PRESET=convergence
					FLEET_EXTRA='"baseline_poll_ms": 250,'
				fi
				fleet_start_links && fleet_start_log
				start_nodes "$nodes"
				if [ $mode = baseline ]; then
					sleep 3
				else
					fleet_until 400 has_joined $total ||
					    echo "bench: some of $total nodes" \
					        "did not join the tree" >&2
					sleep 4
				fi
				before=$(link_bytes)
				reads=$(config_reads)
				res=$(build/jd-load spread --log $FLEET_LOG \
				    --nodes "$FLEET_NET/$nodes" --entries 12 \
				    --versions 24 --rate 2 --settle 3)
				reads=$(($(config_reads) - reads))
				before=$(($(link_bytes) - before))
				s=$(field seconds "$res")
				bytes=$(field node_bytes_per_s "$res")
				[ $mode != baseline ] || bytes=$(awk -v a="$(field \
				    log_bytes "$res")" -v n=$total -v s="$s" \
				    -v r="$reads" \
				    'BEGIN { printf "%.1f", (a + r * 110) / n / s }')
				echo "| $total | $mode" \
				    "| $(field whole_p50_ms "$res")" \
				    "| $(field whole_max_ms "$res")" \
				    "| $bytes" \
				    "| $(awk -v b=$before -v s="$s" \
				    'BEGIN { printf "%.0f", b / s }')" \
				    "| $reads" \
				    "| $(field cpu_percent_of_core_per_node "$res")" \
				    "| $(field rss_mb_per_node "$res") |"
				fleet_end
			done
		done
	} | section slopes "Convergence and control bytes against fleet size"
	FLEET_EXTRA=
	FLEET_LINKS=
}

run_storms() {
	local preset line
	{
		echo "200 nodes. Time until every node applied the newest version" \
		    "(every other node while one is stopped), from the end of" \
		    "the fault or, for root-killed, root-frozen and" \
		    "region-silent, from its start; the bound is 4000 ms. The" \
		    "log was down for ${LOG_DOWN_S:-60} s."
		echo
		echo "| fault | preset | slowest node ms | nodes not updated |"
		echo "|---|---|---|---|"
		for preset in convergence control-bytes; do
			bash load/storms.sh 50 $preset 2>>"$FLEET_DIR/storms.err" |
			    while read -r line; do
				echo "| $(field fault "$line") | $preset" \
				    "| $(field slowest_ms "$line")" \
				    "| $(field missing "$line") |"
			done
		done
	} | section storms "Recovery from restarts, link faults and a log outage"
	cat "$FLEET_DIR/storms.err" >&2
}

# Starts nodes with a target each in both domains of the first region.
start_kiln_service() { # WORKERS SLOTS CONNECTIONS SERVICE_US POLICY
	local d i
	fleet_start_log
	for d in 1 2; do
		for i in $(seq $(($1 / 2))); do
			fleet_settings $d "$i" archive-kiln kiln "$2" "$3"
			fleet_start_target $d "$i" "$4"
			fleet_start_node $d "$i"
		done
	done
	fleet_until 400 has_joined "$1"
	cat >"$FLEET_DIR/patch.json" <<EOF
{"base": 0, "patch": {"services": {"archive-kiln": {}},
 "policies": {"browse": {"priority": 2, "deadline_ms": 1000, $5},
  "counter": {"priority": 0, "deadline_ms": 1000, $5},
  "order": {"priority": 0, "deadline_ms": 3000, "once": true}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {
  "/browse": {"service": "archive-kiln", "endpoint_set": "kiln",
   "policy": "browse"},
  "/counter": {"service": "archive-kiln", "endpoint_set": "kiln",
   "policy": "counter"},
  "/order": {"service": "archive-kiln", "endpoint_set": "kiln",
   "policy": "order"}}}}
EOF
	fleet_ctl submit "$FLEET_DIR/patch.json" >/dev/null
	# Nodes warm up a target for 5 s after they learn of it.
	sleep 7
}

# Prints the addresses of the nodes or targets as members of a JSON array.
addresses() { # WORKERS PORT
	local d i out=""
	for d in 1 2; do
		for i in $(seq $(($1 / 2))); do
			out="$out,\"127.$FLEET_NET.$d.$i:$2\""
		done
	done
	echo "${out#,}"
}

run_added() {
	local port path res
	{
		echo "8 targets that answer at once, open-loop load, no emulated" \
		    "latency. Direct: from the load generator to the targets." \
		    "Routed: to any node, which chooses a target and forwards" \
		    "the request to the target's node. The bound is 0.5 ms" \
		    "added at p99."
		echo
		echo "| rate /s | path | answered | p50 ms | p99 ms | max ms |"
		echo "|---|---|---|---|---|---|"
		start_kiln_service 8 18 130 0 '"retry_percent": 10'
		for rate in 200 1000 4000; do
			for port in 9000 8000; do
				path=direct
				[ $port = 9000 ] || path=routed
				cat >"$FLEET_DIR/x.json" <<EOF
{"seconds": 8, "streams": [{"name": "s", "method": "GET", "path": "/browse",
 "rate": $rate.0, "to": [$(addresses 8 $port)]}]}
EOF
				res=$(build/jd-load run "$FLEET_DIR/x.json")
				echo "| $rate | $path | $(field answered "$res")" \
				    "| $(field p50_ms "$res") | $(field p99_ms \
				    "$res") | $(field max_ms "$res") |"
			done
		done
		fleet_end
	} | section added "Added latency"
}

# Turns result lines into table rows.
overload_rows() { # NAME
	local line
	while read -r line; do
		echo "| $1 | $(field stream "$line") | $(field sent "$line")" \
		    "| $(field goodput_per_s "$line")" \
		    "| $(field not_run "$line") | $(field unknown "$line")" \
		    "| $(field failed "$line") | $(field p50_ms "$line")" \
		    "| $(field p99_ms "$line") | $(field all_p99_ms "$line")" \
		    "| $(sed 's/.*"reasons": {\(.*\)}}/\1/' <<<"$line" |
		        tr -d '"') |"
	done
}

ROWS="| load | stream | sent | goodput /s | not run | unknown | no answer \
| p50 ms | p99 ms | p99 of all answers ms | reasons |"

run_overload() {
	local times rate mode
	{
		echo "8 workers with 6 slots and 50 ms of service time: capacity" \
		    "960 /s. 90% of the load is /browse, 10% is /counter, which" \
		    "has a higher priority. Baseline: no admission limit (10,000" \
		    "slots, so that requests queue in the target), while the" \
		    "target still serves 6 at a time."
		echo
		echo "$ROWS"
		echo "|---|---|---|---|---|---|---|---|---|---|---|"
		for mode in limits baseline; do
			slots=6
			[ $mode = limits ] || slots=10000
			TARGET_SLOTS=6
			start_kiln_service 8 $slots 10000 50000 '"retry_percent": 10'
			for times in 0.8 1.5 3 10; do
				rate=$(awk -v t=$times 'BEGIN { print 960 * t }')
				cat >"$FLEET_DIR/x.json" <<EOF
{"seconds": 6, "streams": [
 {"name": "browse", "method": "GET", "path": "/browse", "timeout_ms": 1500,
  "rate": $(awk -v r="$rate" 'BEGIN { printf "%.1f", r * 0.9 }'),
  "to": [$(addresses 8 8000)]},
 {"name": "counter", "method": "GET", "path": "/counter", "timeout_ms": 1500,
  "rate": $(awk -v r="$rate" 'BEGIN { printf "%.1f", r * 0.1 }'),
  "to": [$(addresses 8 8000)]}]}
EOF
				build/jd-load run "$FLEET_DIR/x.json" |
				    overload_rows "$times x, $mode"
			done
			fleet_end
		done
		TARGET_SLOTS=
	} | section overload "Overload"
}

run_stalled() {
	{
		echo "8 workers with 18 slots and 5 ms of service time, 1000 /s" \
		    "(capacity 28,800), two targets stall after 3 s of 9."
		echo
		echo "$ROWS"
		echo "|---|---|---|---|---|---|---|---|---|---|---|"
		start_kiln_service 8 18 130 5000 '"retry_percent": 20'
		cat >"$FLEET_DIR/x.json" <<EOF
{"seconds": 9, "streams": [
 {"name": "browse", "method": "GET", "path": "/browse", "timeout_ms": 1500,
  "rate": 1000.0, "to": [$(addresses 8 8000)]}]}
EOF
		(
			sleep 3
			fleet_get "http://127.$FLEET_NET.1.1:9000/-/control?mode=stall"
			fleet_get "http://127.$FLEET_NET.2.2:9000/-/control?mode=stall"
		) >/dev/null &
		build/jd-load run "$FLEET_DIR/x.json" | overload_rows "two stalled"
		wait $!
		fleet_end
	} | section stalled "Two targets stalled"
}

run_once() {
	local gap rate res appends seconds
	FLEET_LINKS=yes
	{
		echo "Orders with idempotency keys through 8 nodes with a target" \
		    "each, 4 in each region. The log is in semenanjung, accepts" \
		    "500 appends per second and is reached over the emulated" \
		    "links. 'Gap' is the shortest time between two appends of a" \
		    "node."
		echo
		echo "| gap ms | orders /s | region | answered | not run |" \
		    "unknown | p50 ms | p99 ms | appends /s |" \
		    "refused by the log |"
		echo "|---|---|---|---|---|---|---|---|---|---|"
		for gap in 5 50; do
			FLEET_EXTRA="\"once\": {\"gap_ms\": $gap},"
			fleet_start_links
			fleet_start_log
			for d in 1 2 3 4; do for i in 1 2; do
				fleet_settings $d $i archive-kiln kiln 18 130
				fleet_start_target $d $i 2000
				fleet_start_node $d $i
			done; done
			fleet_until 400 has_joined 8
			cat >"$FLEET_DIR/patch.json" <<EOF
{"base": 0, "patch": {"services": {"archive-kiln": {}},
 "policies": {"order": {"once": true, "deadline_ms": 3000}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/order": {"service": "archive-kiln", "endpoint_set": "kiln",
  "policy": "order"}}}}
EOF
			fleet_ctl submit "$FLEET_DIR/patch.json" >/dev/null
			sleep 7
			for rate in 50 200 800; do
				cat >"$FLEET_DIR/x.json" <<EOF
{"seconds": 6, "streams": [
 {"name": "semenanjung", "method": "POST", "path": "/order", "key": true,
  "rate": $((rate / 2)).0, "to": ["127.$FLEET_NET.1.1:8000", "127.$FLEET_NET.2.1:8000"]},
 {"name": "borneo", "method": "POST", "path": "/order", "key": true,
  "rate": $((rate / 2)).0, "to": ["127.$FLEET_NET.3.1:8000", "127.$FLEET_NET.4.1:8000"]}]}
EOF
				before=$(claim_appends)
				refused=$(log_refused)
				build/jd-load run "$FLEET_DIR/x.json" \
				    >"$FLEET_DIR/res"
				appends=$(($(claim_appends) - before))
				refused=$(($(log_refused) - refused))
				while read -r res; do
					echo "| $gap | $rate | $(field stream "$res")" \
					    "| $(field answered "$res")" \
					    "| $(field not_run "$res")" \
					    "| $(field unknown "$res")" \
					    "| $(field p50_ms "$res")" \
					    "| $(field p99_ms "$res")" \
					    "| $((appends / 6)) | $refused |"
				done <"$FLEET_DIR/res"
			done
			fleet_end
		done
		FLEET_EXTRA=
	} | section once "Cost of idempotency claims"
	FLEET_LINKS=
}

# Starts a chain of DEPTH services with two targets each, where each target
# calls the next service through its own node and the last service sheds every
# request.  Sends REQUESTS to the first service and prints how many attempts the
# last one got.
chain_attempts() { # DEPTH REQUESTS RETRY-PERCENT [--strip-retry]
	local i d svc="" set="" route="" next sum=0
	fleet_start_log
	for i in $(seq "$1"); do
		for d in 1 2; do
			fleet_settings $d "$i" "s$i" "e$i" 100 120
			next="--next 127.$FLEET_NET.$d.$i:8000 --next-path /s$((i + 1))"
			[ "$i" -lt "$1" ] || next=""
			"$FLEET_BIN/jd-targetd" --listen "127.$FLEET_NET.$d.$i:9000" \
			    --name "t$d-$i" $next ${4:-} \
			    2>>"$FLEET_DIR/t$i.err" &
			fleet_track "target-$d-$i"
			fleet_start_node $d "$i"
		done
		svc="$svc,\"s$i\": {\"policy\": \"p\"}"
		set="$set,\"e$i\": {\"service\": \"s$i\"}"
		route="$route,\"/s$i\": {\"service\": \"s$i\", \"endpoint_set\": \"e$i\"}"
	done
	fleet_until 400 has_joined $((2 * $1))
	cat >"$FLEET_DIR/patch.json" <<EOF
{"base": 0, "patch": {"services": {${svc#,}}, "endpoint_sets": {${set#,}},
 "routes": {${route#,}},
 "policies": {"p": {"deadline_ms": 30000, "retry_percent": $3}}}}
EOF
	fleet_ctl submit "$FLEET_DIR/patch.json" >/dev/null
	sleep 7
	for d in 1 2; do
		fleet_get "http://127.$FLEET_NET.$d.$1:9000/-/control?mode=shed"
	done >/dev/null
	for i in $(seq "$2"); do
		curl -s -m 60 -o /dev/null http://127.$FLEET_NET.1.1:8000/s1
	done
	for d in 1 2; do
		i=$(fleet_get "http://127.$FLEET_NET.$d.$1:9000/-/stats" |
		    sed 's/.*"shed":\([0-9]*\).*/\1/')
		sum=$((sum + i))
	done
	fleet_end
	echo $sum
}

run_depth() {
	local depth attempts
	{
		echo "A chain of calls whose last service sheds every request:" \
		    "attempts at the last service per request at the first." \
		    "Baseline: a retry for every failure (retry_percent 100)" \
		    "and targets that do not pass on x-retry, by which the" \
		    "system tells callers not to retry."
		echo
		echo "| depth | budget | requests | attempts at the last service |" \
		    "per request |"
		echo "|---|---|---|---|---|"
		for depth in 2 6 14; do
			attempts=$(chain_attempts $depth 200 10)
			echo "| $depth | 10% | 200 | $attempts |" \
			    "$(awk -v t="$attempts" 'BEGIN { print t / 200 }') |"
		done
		for depth in 2 6 10; do
			attempts=$(chain_attempts $depth 3 100 --strip-retry)
			echo "| $depth | baseline | 3 | $attempts |" \
			    "$(awk -v t="$attempts" 'BEGIN { print t / 3 }') |"
		done
	} | section depth "Retries in a chain of calls"
}

# Prints the appends to the claim stream of archive-kiln.
claim_appends() {
	fleet_get http://$FLEET_LOG/stats |
	    sed 's/.*"claims-archive-kiln":{[^}]*"appends":\([0-9]*\).*/\1/;t;s/.*/0/'
}

# Prints the appends that the log refused.
log_refused() {
	fleet_get http://$FLEET_LOG/stats | sed 's/.*"refused":\([0-9]*\).*/\1/'
}

for p in $PARTS; do
	"run_$p"
done
{
	echo "# Measurements"
	echo
	echo "Written by \`make bench\` on one machine with" \
	    "$(nproc) cores; every process of a run shares it. Each section" \
	    "names its command and commit."
	echo
	for p in parts slopes storms added overload stalled once depth; do
		[ ! -f "build/bench/$p.md" ] || cat "build/bench/$p.md"
	done
} >"$OUT"
