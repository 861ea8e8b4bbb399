# Functions that run a fleet with the platform adapter against fakes of the
# platform's metadata store and workers.  Source it after load/fleet.sh.

platform_start_store() {
	"$FLEET_BIN/jd-stored" --listen $FLEET_LOG \
	    >>"$FLEET_DIR/store.log" 2>&1 &
	fleet_track store
	fleet_until 100 fleet_get http://$FLEET_LOG/-/stats
}

# Renders a section {{#NAME}}..{{/NAME}} of a template once for each entry of a
# table, given as key=value.
platform_render_section() { # TEXT NAME KEY=VALUE...
	local open="{{#$2}}" close="{{/$2}}" before=${1%%"{{#$2}}"*} body out=""
	local text=$1
	shift 2
	body=${text#*"$open"} body=${body%%"$close"*}
	while [ $# -gt 0 ]; do
		out=$out${body//"{{@}}"/${1%%=*}}
		out=${out//"{{.}}"/${1#*=}}
		[ $# -gt 1 ] && out=${out//"{{,}}"/,} || out=${out//"{{,}}"/}
		shift
	done
	printf '%s' "$before$out${text#*"$close"}"
}

# Writes settings as the platform does: from the template of the deploy file, with
# its bounds as a table; and routes connections through the link emulator.
platform_fill_settings() { # D I SERVICE BOUND=VALUE...
	local ip=127.$FLEET_NET.$1.$2 file=$FLEET_DIR/$1-$2.json text field
	local translate=$(fleet_translate "$1")
	local -A value=([node]=${FLEET_DOMAINS[$1]}-$2
	    [region]=${FLEET_REGIONS[$1]} [zone]=${FLEET_DOMAINS[$1]} [ip]=$ip
	    [internal_ports.0]=7000 [internal_ports.1]=8100
	    [listen.outbound]=$ip:8000 [listen.readiness]=$ip:8200
	    [listen.control]=$ip:8300 [app]=$ip:9000 [service]=$3
	    [provider.address]=$FLEET_LOG [limits.link_mbps]=1000.0)
	for field in $PLATFORM_LIMITS; do
		value[limits.${field%%=*}]=${field#*=}
	done
	shift 3
	text=$(cat deploy/node.json.in)
	[ -z "$PLATFORM_BODY_BYTES" ] ||
	    text=${text/'"body_bytes": 67108864'/"\"body_bytes\": $PLATFORM_BODY_BYTES"}
	text=$(platform_render_section "$text" bounds "$@")
	for field in "${!value[@]}"; do
		text=${text//"{{$field}}"/${value[$field]}}
	done
	[ -z "$FLEET_LINKS" ] ||
	    text=${text/'"peer":'/"\"translate\": \"$translate\", \"peer\":"}
	printf '%s\n' "$text" >"$file"
}

# Limits of a process, NAME=VALUE each; and the largest body, empty: as the
# template has it.
PLATFORM_LIMITS="memory_mb=260 max_fds=4100"
PLATFORM_BODY_BYTES=
# Bounds of the platform, NAME=VALUE each.
PLATFORM_BOUNDS="seed_lag_s=3 drain_s=2.5 grace_s=6 lost_s=0.2 retry_ratio=0.2"
platform_write_settings() { # D I SERVICE
	platform_fill_settings "$1" "$2" "$3" $PLATFORM_BOUNDS
}

# Further options of the workers.
PLATFORM_WORKER_OPTIONS=
platform_start_worker() { # D I SERVICE ID
	local ip=127.$FLEET_NET.$1.$2
	"$FLEET_BIN/jd-workerd" --listen "$ip:9000" --node "$ip:8300" \
	    --id "$4" --service "$3" $PLATFORM_WORKER_OPTIONS \
	    --record "$FLEET_DIR/$1-$2.ran" >>"$FLEET_DIR/$1-$2.worker.log" 2>&1 &
	fleet_track worker-$1-$2
}

platform_control_store() { # QUERY
	fleet_get "http://$FLEET_LOG/-/control?$1" >/dev/null
}

platform_control_worker() { # D-I QUERY
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:9000/-/control?$2" \
	    >/dev/null
}

# Puts the document on standard input into the store, as the operator does.
platform_put_document() {
	curl -sf -m 3 -X POST --data-binary @- -o /dev/null \
	    "http://$FLEET_LOG/-/put?topic=keyed.op&key=config"
}

# Orders that a service move to a version, as the operator does.
platform_order_rollout() { # SERVICE VERSION SECONDS
	printf '{"service": "%s", "target_version": "%s", "duration_s": %s}' \
	    "$1" "$2" "$3" | curl -sf -m 3 -X POST --data-binary @- -o /dev/null \
	    "http://$FLEET_LOG/-/put?topic=keyed.op&key=rollout/$1"
}

# Prints the state that the operator reads of a roll-out, and its version.
platform_rollout_state() { # SERVICE
	fleet_get "http://$FLEET_LOG/log-newest?topic=keyed.status&part=0" |
	    sed -n 's|.*"key":"rollout/'"$1"'","value":"\([^"]*\)".*|\1|p' |
	    base64 -d | sed -n 's/.*"state":"\([^"]*\)","target_version":"\([^"]*\)".*/\2 \1/p'
}

platform_rollout_is() { # SERVICE STATE
	[ "$(platform_rollout_state "$1")" = "$2" ]
}

platform_is_ready() { # D-I
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:8200/ready"
}

# A configuration with the routes /kiln/ (idempotent) and /order/.
platform_document() { # VERSION SERVICE [MORE-ROUTES]
	cat <<EOF
{"version": $1, "routes": {"r-a": {"hostname": "shop.example",
 "path_prefix": "/kiln/", "type": "safe", "timeout_s": 1.5,
 "target_latency_s": 0.4, "priority": 2, "service": "$2", "attempts": 2},
 "r-b": {"hostname": "shop.example", "path_prefix": "/order/",
 "type": "unsafe", "timeout_s": 1.5, "target_latency_s": 0.4, "priority": 0,
 "service": "$2", "attempts": 1}$3}, "services": {"kiln": {
 "health_check": "/health", "max_connections": 120}, "ops": {
 "health_check": "/health", "max_connections": 120}}, "limits": {}}
EOF
}

platform_all_ready() {
	local n
	for n in 1-1 1-2 3-1 3-2; do
		platform_is_ready $n || return 1
	done
}

# Sends a request and prints the response's status, whether it has a server
# signature and a Retry-After header, the worker that executed it and the
# calling service.
platform_request() { # D-I PATH CURL-OPTION...
	local n=$1 path=$2
	shift 2
	curl -s -m 5 -D "$FLEET_DIR/head" -o "$FLEET_DIR/body" \
	    -H "Host: ${REQUEST_HOST:-shop.example}" \
	    -H 'Jacinthdyke-Request-Id: q1' "$@" \
	    "http://127.$FLEET_NET.${n%-*}.${n#*-}:8000$path" ||
	    echo "curl $?"
	printf '%s' "$(awk 'NR == 1 { print $2 }' "$FLEET_DIR/head")"
	tr -d '\r' <"$FLEET_DIR/head" | awk '
	    tolower($1) == "jacinthdyke-server-signature:" { printf " signed" }
	    tolower($1) == "retry-after:" { printf " retry-after" }'
	sed -n 's/.*"worker":"\([^"]*\)","caller":"\([^"]*\)".*/ \1 from \2/p' \
	    "$FLEET_DIR/body" | tr -d '\n'
	echo
}

# Prints the number of hedges that a node started, and of attempts that failed.
platform_hedges_and_failures() { # D-I
	echo "$(platform_metric "$1" retries_idempotent_total)" \
	    "$(grep -c '"event":"retry"' "$FLEET_DIR/$1.log")"
}

# Prints the response to a request that the node did not hedge: when the machine
# keeps a worker from running for 50 ms, another answers as well.  A request that
# a worker failed, or that is hedged 20 times, counts.
platform_unhedged_request() { # D-I PATH CURL-OPTION...
	local i before after answer
	for i in $(seq 20); do
		before=$(platform_hedges_and_failures "$1")
		answer=$(platform_request "$@")
		after=$(platform_hedges_and_failures "$1")
		[ "${after% *}" != "${before% *}" ] &&
		    [ "${after#* }" = "${before#* }" ] || break
		echo "hedged: $answer" >&2
	done
	echo "$answer"
}

platform_served_by() { # D-I PATH WORKER-PATTERN
	platform_request "$1" "$2" | grep -q "^200 .*$3"
}

platform_metric() { # D-I NAME
	fleet_sum "$2" "$1"
}

# Sends requests to a node, one each 20 ms, until the file "stop" exists or the
# test has ended, and appends their statuses to FILE.  Their ids begin with D-I
# and a dot.
platform_send_steadily() { # D-I PATH FILE
	while [ -d "$FLEET_DIR" ] && [ ! -e "$FLEET_DIR/stop" ]; do
		curl -s -m 5 -o /dev/null -w '%{http_code}\n' \
		    -H 'Host: shop.example' \
		    -H "Jacinthdyke-Request-Id: $1.$BASHPID-$RANDOM" \
		    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000$2" >>"$3" &
		sleep 0.02
	done
	wait
}

# Prints the largest number of requests that a worker ran in any 4 s after the
# time FROM in us.
platform_most_in_4s() { # D-I FROM
	awk -v from="$2" 'BEGIN { n = first = 0 } $3 == "ran" && $1 >= from {
	    t[n++] = $1
	    while (t[first] <= $1 - 4000000)
	        first++
	    if (n - first > most)
	        most = n - first
	} END { print most + 0 }' "$FLEET_DIR/$1.ran"
}

# Prints the number of requests that a worker ran after the time FROM in us, of
# those whose ids match PATTERN.
platform_ran_since() { # D-I FROM [PATTERN]
	awk -v from="$2" -v pattern="${3:-.}" \
	    '$3 == "ran" && $1 >= from && $4 ~ pattern' "$FLEET_DIR/$1.ran" | wc -l
}

# Prints the last refusals of requests whose ids begin with D-I, for a test that
# expects none.
platform_refusals() { # D-I...
	local n
	for n in "$@"; do
		grep -h '"event":"request","id":"'"$n[.]" "$FLEET_DIR"/*.log
	done | sort | tail -n 8
}

platform_now() {
	date +%s%6N
}

# Checks that the worker of 1-1, which left before the time SINCE in us, gets no
# requests after the restart of its node that is under way, and that the next
# process at its address does.
platform_check_left_after_restart() { # SINCE
	local learnt
	fleet_until 200 platform_is_ready 1-1 || die "1-1 is not ready again"
	# A node that has just started learns from others what it had been told.
	sleep 1
	learnt=$(platform_now)
	sleep 2
	say "requests to it after a restart of its node, of other nodes:" \
	    "$(platform_ran_since 1-1 "$1" '^3-')"
	say "of that node's own callers, a second later:" \
	    "$(platform_ran_since 1-1 "$learnt")"
	platform_control_worker 1-1 id=second
	fleet_until 100 platform_served_by 3-1 /kiln/1 second ||
	    die "second is not used"
	say "the next process is used"
}

# Kills nodes, so that they lose their state, and starts them together; without
# arguments those of the fleet of four.
platform_restart_all() { # [D-I...]
	local n
	[ $# -gt 0 ] || set -- 1-1 1-2 3-1 3-2
	for n in "$@"; do
		fleet_kill $n
	done
	for n in "$@"; do
		fleet_start_node ${n%-*} ${n#*-}
	done
}

# Starts the store, and nodes with their workers, each named NODE:SERVICE; without
# arguments four nodes in two regions.
platform_start_fleet() { # [NODE:SERVICE...]
	local n s
	[ $# -gt 0 ] || set -- 1-1:kiln 1-2:ops 3-1:kiln 3-2:ops
	platform_start_store || return 1
	for n in "$@"; do
		s=${n#*:} n=${n%:*}
		platform_write_settings ${n%-*} ${n#*-} $s
		platform_start_worker ${n%-*} ${n#*-} $s w$n
		fleet_start_node ${n%-*} ${n#*-}
	done
}

# Starts two nodes with workers of kiln, 1-1 and 1-2, and two for callers, 3-1 and
# 3-2, and waits until both workers are used.
platform_start_two_workers() {
	platform_start_fleet 1-1:kiln 1-2:kiln 3-1:ops 3-2:ops ||
	    die "the store does not start"
	platform_document 5 kiln | platform_put_document
	fleet_until 200 platform_all_ready || die "not ready"
	fleet_until 200 platform_served_by 3-1 /kiln/1 w1-1 ||
	    die "1-1 is not used"
	fleet_until 200 platform_served_by 3-2 /kiln/1 w1-2 ||
	    die "1-2 is not used"
}

# Sends COUNT copies of a request to a node, one each 50 ms; each has an id of its
# own that begins with NAME.  Writes their statuses to FLEET_DIR/NAME.answers.
platform_send_copies() ( # NAME COUNT D-I PATH CURL-OPTION...
	local name=$1 count=$2 n=$3 path=$4 i
	shift 4
	for i in $(seq "$count"); do
		curl -s -m 5 -o /dev/null -w '%{http_code}\n' \
		    -H 'Host: shop.example' "$@" \
		    -H "Jacinthdyke-Request-Id: $name.$BASHPID-$i" \
		    "http://127.$FLEET_NET.${n%-*}.${n#*-}:8000$path" \
		    >>"$FLEET_DIR/$name.answers" &
		sleep 0.05
	done
	wait
)

# Prints when the third worker crashed while it ran requests whose ids begin with
# NAME, in us; nothing if there were fewer.  A node cannot tell which of the
# requests that ran was the cause, so a crash counts for each of them.
platform_third_crash() { # NAME
	cat "$FLEET_DIR"/*.ran | sort -n | awk -v name="$1." '
	    $3 == "ran" && index($4, name) == 1 { began[$2] = $1 }
	    $3 == "crashed" && $2 in began && $1 - began[$2] < 1500000 { print $1 }' |
	    sed -n 3p
}

# Sends copies of a request to a node until three workers have crashed.
platform_crash_three() { # NAME D-I PATH
	local i
	for i in $(seq 30); do
		platform_send_copies "$1" 5 "$2" "$3"
		[ -z "$(platform_third_crash "$1")" ] || return 0
	done
	die "fewer than three crashes"
}

# Prints how many of the requests whose ids begin with NAME ran at any worker
# after the time FROM in us.
platform_copies_since() { # NAME FROM
	cat "$FLEET_DIR"/*.ran | awk -v from="$2" -v name="$1." \
	    '$3 == "ran" && $1 >= from && index($4, name) == 1' | wc -l
}

# Prints whether at most three copies ran later than 3 s after the third crash.
platform_is_stopped() { # NAME
	local third n
	third=$(platform_third_crash "$1")
	[ -n "$third" ] || { echo "fewer than three crashes"; return; }
	n=$(platform_copies_since "$1" $((third + 3000000)))
	[ "$n" -le 3 ] && echo yes || echo "no, $n copies ran"
}

# Eight nodes in four failure domains; 3-2 and 4-2 are beside workers of ops, the
# others beside workers of kiln, with 6 slots each.
platform_start_eight() { # WORK-MS
	PLATFORM_WORKER_OPTIONS="--slots 6 --work-ms $1 --restart-ms 1000"
	platform_start_fleet 1-1:kiln 1-2:kiln 2-1:kiln 2-2:kiln 3-1:kiln \
	    3-2:ops 4-1:kiln 4-2:ops || die "the store does not start"
	platform_document 5 kiln | platform_put_document
	local n
	for n in 1-1 1-2 2-1 2-2 3-1 3-2 4-1 4-2; do
		fleet_until 200 platform_served_by $n /kiln/1 w ||
		    die "$n does not serve"
	done
}
