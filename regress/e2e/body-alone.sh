# A single body of the largest legal size, in the smallest memory of the platform:
# at a caller's node and the target's, then at a node that is both.
. regress/e2e/lib.sh
. regress/stand/platform.sh
. regress/stand/crowd.sh
CROWD_MEMORY_MB=160
CROWD_BODY_BYTES=67108864

# Sends the body, in calm.
send_body() { # D-I CURL-OPTION...
	local n=$1
	shift
	head -c $CROWD_BODY_BYTES /dev/zero >"$FLEET_DIR/large"
	curl -s -m 20 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' \
	    -H "Jacinthdyke-Request-Id: large.$n" "$@" -H 'Expect:' \
	    --data-binary "@$FLEET_DIR/large" \
	    "http://127.$FLEET_NET.${n%-*}.${n#*-}:8000/mould/1"
}

crowd_start_fleet
say "with its length, by another node: $(send_body 1-2)"
say "in chunks, by another node:" \
    "$(send_body 1-2 -H 'Transfer-Encoding: chunked')"
crowd_check 1-1
crowd_check 1-2
say "with its length: $(send_body 1-1)"
say "in chunks: $(send_body 1-1 -H 'Transfer-Encoding: chunked')"
crowd_check 1-1
