# A target that had left got requests again after the store had come back from an
# older copy and all nodes had been killed, where its node was not a head and so
# did not read the store.
. regress/e2e/lib.sh
. regress/stand/platform.sh
NODES="1-1 1-2 1-3 1-4"

is_acknowledged() { # D-I
	grep -q ' leaving ' "$FLEET_DIR/$1.ran"
}

platform_start_fleet 1-1:kiln 1-2:kiln 1-3:kiln 1-4:kiln 3-1:ops ||
    die "the store does not start"
platform_document 5 kiln | platform_put_document
for n in $NODES 3-1; do
	fleet_until 200 platform_is_ready $n || die "$n is not ready"
done
for n in $NODES; do
	fleet_until 200 platform_served_by $n /kiln/1 w$n || die "$n is not used"
done
sleep 2
heads=$(fleet_get "http://$FLEET_LOG/log-newest?topic=keyed.heads&part=0")
leaving=
for n in $NODES; do
	case $heads in
	*"\"${FLEET_DOMAINS[1]}-${n#*-}\""*) ;;
	*) leaving=$n ;;
	esac
done
[ -n "$leaving" ] || die "all nodes are heads"

platform_control_store copy=1
platform_control_worker $leaving leave=1
fleet_until 100 is_acknowledged $leaving || die "it is not acknowledged"
platform_control_store down=1
sleep 0.5
platform_control_store "restore=1&down=0"
platform_document 5 kiln | platform_put_document
sleep 2
platform_control_worker $leaving say=ready
platform_restart_all $NODES 3-1
for n in $NODES 3-1; do
	fleet_until 200 platform_is_ready $n || die "$n is not ready again"
done
sleep 2
since=$(platform_now)
for i in $(seq 60); do
	platform_request 3-1 /kiln/1 >/dev/null
	platform_request $leaving /kiln/1 >/dev/null
done
say "requests to it after the restore and a kill of all nodes:" \
    "$(platform_ran_since $leaving "$since")"
platform_control_worker $leaving id=next
fleet_until 200 platform_served_by $leaving /kiln/1 next ||
    die "the next process is not used"
say "the next process is used"
