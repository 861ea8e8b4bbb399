# The metadata store comes back from an older copy: what was written since is
# gone, its offsets are assigned again and its era rises.
. regress/e2e/lib.sh
. regress/stand/platform.sh

document_with_route() { # VERSION NAME
	platform_document "$1" kiln ", \"r-new\": {\"hostname\": \"shop.example\",
 \"path_prefix\": \"/$2/\", \"type\": \"safe\", \"timeout_s\": 1,
 \"priority\": 1, \"attempts\": 2, \"service\": \"kiln\"}"
}

# Writes a record that is no configuration, as the operator may.
put_other_record() { # KEY
	echo '{}' | curl -sf -m 3 -X POST --data-binary @- -o /dev/null \
	    "http://$FLEET_LOG/-/put?topic=keyed.op&key=$1"
}

all_serve() { # PATH
	local n
	for n in 1-1 1-2 3-1 3-2; do
		platform_served_by $n "$1" w || return 1
	done
}

# Lists the nodes that the store's directory of heads names.
listed_heads() {
	fleet_get "http://$FLEET_LOG/log-newest?topic=keyed.heads&part=0" |
	    grep -o '"key":"[^"]*"' | sort
}

# Controls the store and prints how many records of heads it then has, as the
# store itself counts them: heads may register again at once.
control_and_count_heads() { # QUERY
	fleet_get "http://$FLEET_LOG/-/control?$1" |
	    awk '$1 == "keyed.heads" { n = $2 } END { print n + 0 }'
}

heads_listed_as() { # LIST
	[ "$(listed_heads)" = "$1" ]
}

all_in_version() { # VERSION
	local n
	for n in 1-1 1-2 3-1 3-2; do
		[ "$(e2e_status $n version)" = "$1" ] || return 1
	done
}

restores_logged() { # COUNT
	[ "$(grep -h '"event":"store"' "$FLEET_DIR"/*.log |
	    grep -c '"outcome":"restored"')" -ge "$1" ]
}

platform_start_fleet || die "the store does not start"
platform_control_store copy=1
platform_document 5 kiln | platform_put_document
fleet_until 200 platform_all_ready || die "not ready"
fleet_until 200 all_serve /kiln/1 || die "not served"
fleet_until 200 all_in_version 5 || die "version 5 is not in force"
sleep 1
heads=$(listed_heads)
[ -n "$heads" ] || die "no heads are listed"

say "# everything is lost"
[ "$(control_and_count_heads restore=0)" -gt 0 ] || die "no records of heads"
say "records of heads left by the restore: $(control_and_count_heads restore=1)"
fleet_until 40 heads_listed_as "$heads" || die "the heads are not listed again"
say "the same heads are listed again"
all_serve /kiln/1 || die "not served after the restore"
say "requests are served by the version that the store lost"
restores_logged 1 || die "no line"
say "the restore is logged"
platform_document 5 kiln | platform_put_document
document_with_route 7 first | platform_put_document
fleet_until 60 all_serve /first/1 || die "version 7 is not in force"
say "a later version is in force"

say "# offsets are assigned again"
platform_control_store copy=1
document_with_route 9 second | platform_put_document
document_with_route 11 third | platform_put_document
fleet_until 60 all_in_version 11 || die "version 11 is not in force"
platform_control_store silent=1
platform_control_store restore=1
document_with_route 13 fourth | platform_put_document
for i in 1 2 3 4 5 6; do
	put_other_record "other-$i"
done
platform_control_store silent=0
fleet_until 60 all_serve /fourth/1 || die "version 13 is not in force"
say "a version at an offset that was read before is in force"

say "# a node that joins while the store has an older version"
platform_control_store copy=1
document_with_route 15 fifth | platform_put_document
fleet_until 60 all_in_version 15 || die "version 15 is not in force"
platform_control_store restore=1
fleet_kill 1-1
fleet_start_node 1 1
fleet_until 200 platform_is_ready 1-1 || die "1-1 is not ready"
fleet_until 60 all_in_version 15 || die "a node has an older version"
say "it gets the version that its peers hold"

say "# two restores, the first unseen"
platform_control_store copy=1
platform_control_store silent=1
platform_control_store restore=1
platform_control_store restore=1
document_with_route 17 sixth | platform_put_document
platform_control_store silent=0
fleet_until 60 all_serve /sixth/1 || die "version 17 is not in force"
fleet_until 60 heads_listed_as "$heads" || die "the heads are not listed again"
say "version and directory are whole"

say "# malformed and missing eras"
platform_control_store era=0
document_with_route 19 seventh | platform_put_document
fleet_until 60 all_serve /seventh/1 || die "version 19 is not in force"
platform_control_store era=2
document_with_route 21 eighth | platform_put_document
fleet_until 60 all_serve /eighth/1 || die "version 21 is not in force"
platform_control_store late=1
document_with_route 23 ninth | platform_put_document
fleet_until 60 all_serve /ninth/1 || die "version 23 is not in force"
say "versions are applied with no era, and with a lower one"
before=$(fleet_get http://$FLEET_LOG/-/stats | tr -dc 0-9)
sleep 2
after=$(fleet_get http://$FLEET_LOG/-/stats | tr -dc 0-9)
say "calls to the store stay few:" \
    "$([ $((after - before)) -le 40 ] && echo yes || echo $((after - before)))"
