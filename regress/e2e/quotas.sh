# Client accounts: keys, and quotas over all nodes together.
. regress/e2e/lib.sh
. regress/stand/platform.sh

# A configuration whose requests need a key, but those of /open/.  Without ANN,
# the account ann has no key any more.
accounts_document() { # VERSION [ANN]
	local ann="\"key-ann\""
	[ $# -gt 1 ] || ann=""
	cat <<EOF2
{"version": $1, "routes": {"r-a": {"hostname": "shop.example",
 "path_prefix": "/kiln/", "type": "safe", "timeout_s": 1.5,
 "target_latency_s": 0.4, "priority": 2, "service": "kiln", "attempts": 2,
 "public": false}, "r-o": {"hostname": "shop.example",
 "path_prefix": "/open/", "type": "safe", "timeout_s": 1.5,
 "target_latency_s": 0.4, "priority": 2, "service": "kiln", "attempts": 2,
 "public": true}}, "services": {"kiln": {"health_check": "/health",
 "max_connections": 120}, "ops": {"health_check": "/health",
 "max_connections": 120}}, "limits": {},
 "tenants": {"ann": {"api_keys": [$ann], "priority": 1},
  "bea": {"api_keys": ["key-bea"], "priority": 1, "rate_per_s": 20,
   "burst": 20}}}
EOF2
}

with_key() { # D-I PATH KEY
	platform_request "$1" "$2" -H "Jacinthdyke-Credential: $3"
}

# Sends a request of an account each 15 ms until the file "stop" exists; their
# ids begin with ID.
send_with_key() { # D-I KEY ID
	local i=0
	while [ ! -e "$FLEET_DIR/stop" ]; do
		curl -s -m 5 -o /dev/null -D - -w '%{http_code}\n' \
		    -H 'Host: shop.example' -H "Jacinthdyke-Credential: $2" \
		    -H "Jacinthdyke-Request-Id: $3.$1-$i" \
		    "http://127.$FLEET_NET.${1%-*}.${1#*-}:8000/kiln/1" \
		    >>"$FLEET_DIR/$3.$1.answers" &
		i=$((i + 1))
		sleep 0.015
	done
	wait
}

# Prints the largest number of requests whose ids begin with ID that ran in any
# 5 s.
most_in_5s() { # ID
	cat "$FLEET_DIR"/*.ran | sort -n | awk -v name="$1." '
	    BEGIN { n = first = 0 } $3 == "ran" && index($4, name) == 1 {
	    t[n++] = $1
	    while (t[first] <= $1 - 5000000)
	        first++
	    if (n - first > most)
	        most = n - first
	} END { print most + 0 }'
}

PLATFORM_WORKER_OPTIONS="--slots 100 --work-ms 5"
platform_start_fleet || die "the store does not start"
accounts_document 5 ann | platform_put_document
fleet_until 200 platform_all_ready || die "not ready"
fleet_until 200 platform_served_by 1-2 /open/1 w1-1 ||
    die "the worker nearest to 1-2 is not used"

say "# keys"
say "an unknown key: $(with_key 1-2 /kiln/1 no-key)"
say "no key: $(platform_request 1-2 /kiln/1)"
say "no key on a public route: $(platform_request 1-2 /open/1)"
say "a known key: $(platform_request 1-2 /kiln/1 \
    -H 'Jacinthdyke-Credential: key-ann' -H 'Jacinthdyke-Tenant-Id: bea')"
say "the worker is told: $(sed -n 's/.*"account":"\([^"]*\)".*/\1/p' \
    "$FLEET_DIR/body")"
say "and the key: $(grep -q key-ann "$FLEET_DIR/body" && echo yes || echo no)"

# One connection to each node, with a request before the key is withdrawn and
# one after it.
hold_connection() { # D-I
	local request
	request='GET /kiln/1 HTTP/1.1\r\nHost: shop.example\r\n'
	request+='Jacinthdyke-Credential: key-ann\r\n'
	exec 9<>"/dev/tcp/127.$FLEET_NET.${1%-*}.${1#*-}/8000"
	printf "$request\r\n" >&9
	until [ -e "$FLEET_DIR/withdrawn" ]; do sleep 0.05; done
	printf "${request}Connection: close\r\n\r\n" >&9
	timeout 10 cat <&9 >"$FLEET_DIR/$1.open"
}
for n in 1-1 1-2 3-1 3-2; do
	hold_connection $n &
done
sleep 0.3
accounts_document 6 | platform_put_document
is_withdrawn() {
	local n
	for n in 1-1 1-2 3-1 3-2; do
		[ "$(with_key $n /kiln/1 key-ann)" = 401 ] || return 1
	done
}
fleet_until 100 is_withdrawn || die "the key still works"
touch "$FLEET_DIR/withdrawn"
has_two_answers() { # D-I
	[ "$(grep -a -o 'HTTP/1.1 [0-9]*' "$FLEET_DIR/$1.open" | wc -l)" = 2 ]
}
for n in 1-1 1-2 3-1 3-2; do
	fleet_until 100 has_two_answers $n ||
	    die "no two answers at $n"
	say "before and after the key is withdrawn, at $n:" \
	    $(grep -a -o 'HTTP/1.1 [0-9]*' "$FLEET_DIR/$n.open" | cut -d' ' -f2)
done
say "it is in no log: $(grep -l 'key-ann\|key-bea' "$FLEET_DIR"/*.err \
    "$FLEET_DIR"/?-?.log 2>/dev/null | wc -l)"

say "# quotas"
for n in 1-1 1-2 3-1 3-2; do
	send_with_key $n key-bea hot &
done
sleep 9
touch "$FLEET_DIR/stop"
sleep 1
# 20 a second and a burst of 20, a tenth and 20 more.
most=$(most_in_5s hot)
say "over all nodes, within the quota:" \
    "$([ "$most" -le 152 ] && echo yes || echo "no, $most ran")"
say "what the quota allows is used:" \
    "$([ "$most" -ge 90 ] && echo yes || echo "no, $most ran")"
say "refused otherwise than by 429:" \
    "$(cat "$FLEET_DIR"/hot.*.answers | grep -c '^[45][0-9][0-9]$' | tr -d '\n'; \
    printf ' - '; cat "$FLEET_DIR"/hot.*.answers | grep -c '^429$')" |
    awk '{ print $1, $2, $3, $4, $5, $6 - $8 }'
refused=$(cat "$FLEET_DIR"/hot.*.answers | grep -c '^429$')
told=$(cat "$FLEET_DIR"/hot.*.answers | grep -c -i '^retry-after:')
say "refusals without a Retry-After: $((refused - told))"
"$FLEET_BIN/jacinthctl" --node 127.$FLEET_NET.1.1:8100 accounts bea \
    >"$FLEET_DIR/accounts" || die "jacinthctl accounts failed"
say "listed: $(sed -n 's/,* granted.*//p' "$FLEET_DIR/accounts" | head -n 1)," \
    "$(grep -c '^  ' "$FLEET_DIR/accounts") nodes"
used=$(sed -n '1s/.*, used \([0-9]*\).*/\1/p' "$FLEET_DIR/accounts")
# A slow request may have run twice, and used one token.
ran=$(cat "$FLEET_DIR"/*.ran | sed -n 's/.* ran \(hot[.].*\)/\1/p' | sort -u |
    wc -l)
say "used as many as ran: $([ "$used" -eq "$ran" ] && echo yes ||
    echo "no, $used used, $ran ran")"
sleep 2
say "within the quota later: $(with_key 3-1 /kiln/1 key-bea)"
