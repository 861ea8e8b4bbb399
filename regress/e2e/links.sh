# Large answers on a slow link: they leave in chunks, small answers do not wait
# for them, what does not fit is refused before it runs, and a node that ends
# midway leaves no answer that looks whole.
. regress/e2e/lib.sh
FLEET_EXTRA='"link_kbps": 4000, "drain": {"linger_ms": 300},'
SIZE=250000

# Asks for an answer of SIZE bytes; prints its status, length, and time in ms.
ask() { # PATH SIZE NAME [MAX-SECONDS]
	curl -s -m "${4:-20}" -o "$FLEET_DIR/$3.body" -H "x-answer-bytes: $2" \
	    -w '%{http_code} %{size_download} %{time_total}\n' \
	    "http://127.$FLEET_NET.1.1:8000$1" >"$FLEET_DIR/$3.result"
	echo $? >"$FLEET_DIR/$3.end"
}

has_ended() { # NAME...
	local name
	for name in "$@"; do [ -e "$FLEET_DIR/$name.end" ] || return 1; done
}

# Prints how many results have a status; those of 200 must be whole.
count_results() { # PREFIX STATUS
	cat "$FLEET_DIR/$1"*.result | awk -v status="$2" -v size=$SIZE '
	    $1 == status && ($1 != 200 || $2 > size) { n++ }
	    END { print n + 0 }'
}

is_counted() { # D-I COUNTER AT-LEAST
	[ "$(e2e_counter "$1" "$2")" -ge "$3" ]
}

e2e_start_pair
# Bulk policies need version 2 of the validation rules.
curl -s -o /dev/null -d '{"type": "rules", "number": 2}' \
    "http://$FLEET_LOG/streams/config/records"
e2e_submit <<'EOF' || die "the document is refused"
{"services": {"archive-kiln": {}},
 "policies": {"bulk": {"deadline_ms": 8000, "latency_ms": 4000,
                       "idempotent": true, "bulk": true}},
 "endpoint_sets": {"kiln": {"service": "archive-kiln"}},
 "routes": {"/kiln": {"service": "archive-kiln", "endpoint_set": "kiln"},
   "/archive": {"service": "archive-kiln", "endpoint_set": "kiln",
                "policy": "bulk"}}}
EOF
fleet_until 400 e2e_is_served 1-1 /kiln || die "not served"
ask /archive $SIZE first

say "# small answers beside large ones"
for i in 1 2 3; do ask /archive $SIZE large$i & done
fleet_until 400 is_counted 3-1 link_chunks_total 3 || die "no chunks"
small=0
while ! has_ended large1 large2 large3 && [ $small -lt 12 ]; do
	ask /kiln 1000 small$small
	small=$((small + 1))
done
wait
say "small answers meanwhile: $([ $small -ge 8 ] && echo many || echo "$small")"
say "slow ones: $(cat "$FLEET_DIR"/small*.result | awk '$3 > 0.3' | wc -l)"
say "large answers that are whole: $(count_results large 200)"
say "faster than the link: $(cat "$FLEET_DIR"/large*.result |
    awk '$3 < 0.4' | wc -l)"

say "# more than the link carries in time"
before=$(e2e_target_stat 3-1 ran)
for i in $(seq 24); do ask /archive $SIZE burst$i & done
wait
refused=$(count_results burst 503)
say "refused: $([ "$refused" -ge 8 ] && echo many || echo "$refused")"
say "refused late: $(cat "$FLEET_DIR"/burst*.result |
    awk '$1 == 503 && $3 > 1.5' | wc -l)"
say "answered whole or refused: $(($(count_results burst 200) + refused))"
say "refused for the link: $([ "$(e2e_counter 3-1 \
    refused_no_link_room_total)" -ge 8 ] && echo yes)"
say "refused, though they ran: $((24 - refused - \
    $(e2e_target_stat 3-1 ran) + before))"

say "# a caller that leaves midway"
ask /archive 2000000 leaver 1
fleet_until 400 is_counted 3-1 link_responses_cancelled_total 1 &&
    say "its response is dropped"

say "# a node that is killed midway"
ask /archive 1000000 victim &
before=$(e2e_counter 3-1 link_chunks_total)
fleet_until 400 is_counted 3-1 link_chunks_total $((before + 5))
fleet_kill 3-1
wait
say "answer: $(awk '{ print $1 == 200 ? "200" : "failed" }' \
    "$FLEET_DIR/victim.result")"
