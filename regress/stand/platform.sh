# Functions that run a fleet with the platform adapter against fakes of the
# platform's metadata store and workers.  Source it after load/fleet.sh.

platform_start_store() {
	"$FLEET_BIN/jd-stored" --listen $FLEET_LOG \
	    >>"$FLEET_DIR/store.log" 2>&1 &
	fleet_track store
	fleet_until 100 fleet_get http://$FLEET_LOG/-/stats
}

platform_write_settings() { # D I SERVICE
	local ip=127.$FLEET_NET.$1.$2 translate=""
	[ -z "$FLEET_LINKS" ] ||
	    translate="\"translate\": \"$(fleet_translate "$1")\","
	cat >"$FLEET_DIR/$1-$2.json" <<EOF
{"node": "${FLEET_DOMAINS[$1]}-$2", "region": "${FLEET_REGIONS[$1]}",
 "failure_domain": "${FLEET_DOMAINS[$1]}", $translate "peer": "$ip:7000",
 "caller": "$ip:8000", "admin": "$ip:8100",
 "target": {"address": "$ip:9000", "service": "$3", "endpoint_set": "$3"},
 "platform": {"store": "$FLEET_LOG", "ready": "$ip:8200",
  "control": "$ip:8300", "bounds": "grace_s=6,retry_ratio=0.2"}}
EOF
}

platform_start_worker() { # D I SERVICE ID
	local ip=127.$FLEET_NET.$1.$2
	"$FLEET_BIN/jd-workerd" --listen "$ip:9000" --node "$ip:8300" \
	    --id "$4" --service "$3" \
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

platform_is_ready() { # D-I
	fleet_get "http://127.$FLEET_NET.${1%-*}.${1#*-}:8200/ready"
}
