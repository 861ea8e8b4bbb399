# One run of the soak: events drawn from the seed, and the judgement.

soak_nodes() {
	local d i
	for d in 1 2 3 4; do
		for i in $(seq $((NODES / 4))); do
			echo "$d-$i"
		done
	done
}

# The document of a version: every version keeps its marker route for good.
soak_document() { # VERSION SERVICE
	local v
	printf '{"version": %s, "routes": {' "$1"
	for v in $(seq "$1"); do
		printf '"m-%s": {"hostname": "shop.example", "path_prefix": "/v%s/",
 "type": "safe", "timeout_s": 1, "priority": 2, "attempts": 2,
 "service": "ops"},\n' "$v" "$v"
	done
	cat <<EOF
"r-a": {"hostname": "shop.example", "path_prefix": "/kiln/", "type": "safe",
 "timeout_s": 1.2, "target_latency_s": 0.5, "priority": 2, "attempts": 2,
 "service": "$2"},
"r-b": {"hostname": "shop.example", "path_prefix": "/order/",
 "type": "unsafe", "timeout_s": 1.2, "target_latency_s": 0.5, "priority": 0,
 "attempts": 2, "service": "kiln"}},
"services": {"kiln": {"max_connections": 120}, "ops": {"max_connections": 120}},
"limits": {}}
EOF
}

soak_put() {
	version=$((version + 1))
	soak_document $version "$([ $((RANDOM % 2)) = 0 ] && echo kiln || echo ops)" |
	    platform_put_document || version=$((version - 1))
}

soak_any() {
	local list
	mapfile -t list < <(soak_nodes)
	echo "${list[RANDOM % ${#list[@]}]}"
}

soak_log() {
	echo "$(date +%s.%N) $*" >>"$FLEET_DIR/events"
}

# Does one random thing; things overlap and come in series.
soak_event() {
	local n d
	n=$(soak_any)
	d=$((RANDOM % 4 + 1))
	local e=$((d % 4 + 1))
	local what=$((RANDOM % 16))
	soak_log "event $what node $n domains $d $e"
	case $what in
	0 | 1) soak_restart "$n" KILL ;;
	2 | 3) soak_restart "$n" TERM ;;
	4) fleet_kill "$n" STOP ;;
	5) fleet_kill "$n" CONT ;;
	6) fleet_kill "$n" HUP ;;
	7) fleet_fault "from=$d&to=$e&mode=cut" ;;
	8) fleet_fault "from=$d&to=$e&mode=silence" ;;
	9) fleet_fault "from=$d&mode=silence-old" ;;
	10) fleet_fault "from=$d&to=$e&mode=none&extra_ms=$((RANDOM % 200))" ;;
	11) platform_control_store "silent=$((RANDOM % 2))" ;;
	12) platform_control_store "down=$((RANDOM % 2))&slow_ms=$((RANDOM % 300))" ;;
	13) platform_control_store "lose=$((RANDOM % 2))&forget=1" ;;
	14) soak_replace_worker "$n" ;;
	15) soak_put ;;
	esac
}

soak_restart() { # NODE SIGNAL
	fleet_kill "$1" CONT
	fleet_kill "$1" "$2"
	if [ "$2" = TERM ]; then
		fleet_until 160 fleet_is_gone "$1" ||
		    echo "$1 does not end after SIGTERM" >>"$FLEET_DIR/broken"
	fi
	fleet_start_node "${1%-*}" "${1#*-}"
}

# A worker drains or leaves, and another process begins at its address.
soak_replace_worker() { # NODE
	if [ $((RANDOM % 2)) = 0 ]; then
		platform_control_worker "$1" say=draining
	else
		platform_control_worker "$1" leave=1
	fi
	sleep 0.6
	workers=$((workers + 1))
	platform_control_worker "$1" "id=w$1-$workers&say=ready"
}

soak_heal() {
	local n
	soak_log heal
	fleet_fault "mode=none"
	platform_control_store "silent=0&down=0&lose=0&slow_ms=0"
	for n in $(soak_nodes); do
		fleet_kill "$n" CONT
		fleet_is_gone "$n" && fleet_start_node "${n%-*}" "${n#*-}"
		platform_control_worker "$n" say=ready
	done
	soak_put
}

soak_code() { # NODE PATH
	curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' \
	    -H 'Jacinthdyke-Request-Id: probe' \
	    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000$2"
}

# No node goes back: what was in force there is never unknown there again.
# (A node that was killed answers 503 until it has caught up.)
declare -A soak_best
soak_watch() {
	local n v=$version
	n=$(soak_any)
	if [ -n "${soak_best[$n]:-}" ] &&
	    [ "$(soak_code "$n" "/v${soak_best[$n]}/")" = 404 ]; then
		echo "$n went back behind version ${soak_best[$n]}" \
		    >>"$FLEET_DIR/broken"
	fi
	[ "$v" = 0 ] || [ "$(soak_code "$n" "/v$v/")" != 200 ] ||
	    soak_best[$n]=$v
}

soak_is_whole() {
	local n
	for n in $(soak_nodes); do
		platform_is_ready "$n" || return 1
		[ "$(soak_code "$n" "/v$version/")" = 200 ] || return 1
		[ "$(soak_code "$n" /kiln/probe)" = 200 ] || return 1
	done
}

# Joins what callers got with what workers ran.
soak_judge() {
	cat "$FLEET_DIR"/*.ran >"$FLEET_DIR/ran"
	awk -v drain=$DRAIN_US '
	FNR == NR && $3 == "ran" { ran[$4]++
		if (($2 in left) && $1 - left[$2] > drain)
			print "new work for " $2 " after it left: " $4 }
	FNR == NR && $3 == "leaving" && !($2 in left) { left[$2] = $1 }
	FNR == NR { next }
	$2 == "unsafe" && ran[$1] > 1 { print "ran twice: " $1 }
	$2 == "unsafe" && ran[$1] > 0 && ($3 == 503 || $3 == 429 ||
	    $3 == 408 || $3 == 421) { print "refused but ran: " $1 }
	$3 == 200 && $4 != "own" { print "not its own answer: " $1 }
	$3 == "crossed" { print "crossed answer: " $1 }
	$3 == 404 || $3 == 400 { print "denied: " $1 " " $3 }
	' <(sort -n "$FLEET_DIR/ran") "$FLEET_DIR/seen" >>"$FLEET_DIR/broken"
}

soak_start() {
	local n d i s
	fleet_start_links || return 1
	platform_start_store || return 1
	for n in $(soak_nodes); do
		d=${n%-*} i=${n#*-}
		s=kiln
		[ $((i % 2)) = 1 ] || s=ops
		platform_write_settings "$d" "$i" $s
		platform_start_worker "$d" "$i" $s "w$n"
		fleet_start_node "$d" "$i"
	done
	soak_put
	fleet_until 400 soak_is_whole
}

soak_run() { # SEED
	local end n addresses=""
	RANDOM=$1
	version=0 workers=0
	: >"$FLEET_DIR/broken"
	soak_start || {
		echo "the fleet did not start"
		return 1
	}
	for n in $(soak_nodes); do
		addresses="$addresses 127.$FLEET_NET.${n%-*}.${n#*-}:8000"
	done
	"$FLEET_BIN/jd-observe" --seed "$1" --rate 100 \
	    --seconds $((SECONDS_EACH + HEAL)) $addresses \
	    >"$FLEET_DIR/seen" 2>>"$FLEET_DIR/observe.err" &
	local observer=$!
	end=$((SECONDS + SECONDS_EACH))
	while [ $SECONDS -lt $end ]; do
		soak_event
		soak_watch
		sleep 0.$((RANDOM % 7))
	done
	soak_heal
	fleet_until $((HEAL * 10)) soak_is_whole ||
	    echo "not all in force and served $HEAL s after the last fault" \
	    >>"$FLEET_DIR/broken"
	kill "$observer" 2>/dev/null
	wait "$observer" 2>/dev/null
	soak_judge
	cat "$FLEET_DIR/broken"
	echo "$(wc -l <"$FLEET_DIR/seen") requests," \
	    "$(grep -c ' 200 own$' "$FLEET_DIR/seen") answered," \
	    "$(grep -c event "$FLEET_DIR/events") events, $version versions"
	[ ! -s "$FLEET_DIR/broken" ]
}
