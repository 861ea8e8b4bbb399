# Workers answer with statuses that are none of HTTP's, or with an interim status
# as their last word.  No caller gets one of them as its answer, and none waits for
# another answer where none can come.
. regress/e2e/lib.sh
. regress/stand/platform.sh
platform_start_fleet 1-1:kiln 1-2:kiln 3-1:ops || die "the store does not start"
platform_document 5 kiln | platform_put_document
fleet_until 200 platform_served_by 3-1 /kiln/1 w1-1 || die "1-1 is not used"
fleet_until 200 platform_served_by 3-1 /kiln/1 w1-2 || die "1-2 is not used"

# Prints the statuses that callers of node 1-1, beside a worker, and of node 3-1
# get for five requests each.
statuses() { # PATH
	local n i
	for n in 1-1 3-1; do
		for i in 1 2 3 4 5; do
			curl -s -m 5 -o /dev/null -w '%{http_code}\n' -X POST \
			    -H 'Host: shop.example' \
			    -H "Jacinthdyke-Request-Id: odd.$RANDOM$RANDOM" \
			    "http://127.$FLEET_NET.${n%-*}.${n#*-}:8000$1"
		done
	done | sort -u | tr '\n' ' '
}

for status in 000 007 099 101 600 999 -000 -099 -150 -199 -600; do
	for n in 1-1 1-2; do
		platform_control_worker $n "mode=status&status=$status"
	done
	since=$(platform_now)
	say "$status: idempotent $(statuses /kiln/1)others $(statuses /order/1)"
	twice=$(cat "$FLEET_DIR"/*.ran | awk -v from="$since" '
	    $3 == "ran" && $1 >= from { n[$4]++ }
	    END { for (id in n) k += n[id] > 2; print k + 0 }')
	[ "$twice" = 0 ] || say "$twice requests ran more than twice"
done
for n in 1-1 1-2; do
	platform_control_worker $n mode=ok
done
sleep 1
say "afterwards: $(statuses /kiln/1)$(statuses /order/1)"
