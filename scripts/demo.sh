#!/bin/sh
# Runs the router with stand-ins for its platform on loopback: four instances
# and twelve targets in three zones, an unsharded and a sharded service. Kills
# the owner of a key, resends a request, takes a zone out of service and prints
# a summary of the targets' journals. Stops all processes that it started and
# ends within 60 s. Argument: the build folder.
set -u

build=$(cd "$1" && pwd) || exit 2
work=$build/demo
zones="z1 z2 z3"
n_zones=3
instances="1 2 3 4"
services=orders
sharded_services=workshop
numbers="1 2"
service_us=2000
extra_settings=""
self=demo
limit_s=55
key=hall-7

. "$(dirname "$0")/system.sh"

bundle_text() {
	cat <<END
{"version": 1, "base": 0,
 "settings": {"partitions": 24},
 "services": [
  {"name": "orders", "access": "public", "sharded": false,
   "idempotent": false, "slots": 4, "deadline_ms": 2000},
  {"name": "workshop", "access": "public", "sharded": true, "shards": 16,
   "idempotent": false, "checks_fences": true, "slots": 4,
   "deadline_ms": 2000}],
 "customers": [{"name": "acme", "rate": 1000, "burst": 1000}],
 "keys": [{"customer": "acme", "hash": "$hash"}],
 "zones": [{"name": "z1", "in_service": true},
  {"name": "z2", "in_service": true}, {"name": "z3", "in_service": true}],
 "operators": ["$(cat "$work/operator.pub")"]}
END
}

# ===== Traffic =====

# Prints a new UUID version 7 with the current time in whole seconds.
request_id() {
	t=$(printf '%012x' "$(date +%s)000")
	r=$(random_hex 9)
	a=$(echo "$t" | cut -c1-8)
	b=$(echo "$t" | cut -c9-12)
	echo "$a-$b-7$(echo "$r" | cut -c1-3)-8$(echo "$r" |
		cut -c4-6)-$(echo "$r" | cut -c7-18)"
}

# post INSTANCE PATH ID BODY: prints the answer, then the status on its own line
post() {
	curl -s -m 4 -w '\n%{http_code}\n' -H "Authorization: Bearer $caller" \
		-H "Idempotency-Key: $3" -d "$4" "$(callers "$1")/s/$2"
}

get() {
	curl -sf -m 0.5 -H "Authorization: Bearer $caller" \
		"$(callers "$1")/s/$2"
}

# send_traffic NAME COUNT: sends COUNT requests to each of the two services, to
# the instances in turn
send_traffic() {
	n=0
	while [ $n -lt "$2" ]; do
		i=$((n % 4 + 1))
		post $i orders/new "$(request_id)" "order $1-$n" | tail -n 1
		post $i "workshop/mat-$((n % 12))/refit" "$(request_id)" \
			"mat $1-$n" | tail -n 1
		n=$((n + 1))
	done >"$work/traffic-$1"
}

# Sends requests for the key without a pause, until the file "stop" exists.
ask_for_key() {
	n=0
	while [ ! -e "$work/stop" ] && [ $n -lt 2000 ]; do
		get $((n % 4 + 1)) "workshop/$key/state" >/dev/null ||
			sleep 0.02
		n=$((n + 1))
	done
}

# ===== Steps =====

kill_owner() {
	owner=$("$tool" explain workshop $key --json --admin "$(admin 2)" |
		sed -n '/"target": {/,/}/p' | json_field name)
	[ -n "$owner" ] || fail "nobody owns $key"
	echo "killing $owner, the owner of key $key"
	kill -9 "$(cat "$work/$owner.pid")"
}

resend_order() {
	id=$(request_id)
	first=$(post 1 orders/new "$id" "the order that is sent twice")
	again=$(post 3 orders/new "$id" "the order that is sent twice")
	echo "order sent to instance 1: $(echo "$first" | tail -n 1), again to" \
		"instance 3: $(echo "$again" | tail -n 1)"
	[ "$first" = "$again" ] || fail "the answers differ: $first / $again"
	runs=$(cat "$work"/*.journal | grep '"event":"run"' | grep -c "$id")
	echo "runs of this order in the journals: $runs"
	[ "$runs" -eq 1 ] || fail "the order ran $runs times"
}

# tell_zone ZONE true|false: has the zone's targets record in their journals
# whether operators took the zone out of service
tell_zone() {
	for f in "$work"/*-"$1"-*.out; do
		a=$(sed -n 's/^listening on //p' "$f")
		curl -s -m 1 -d "{\"out_of_service\":$2}" "http://$a/fault" \
			>/dev/null
	done
}

# Takes a zone out of service under traffic and back into service.
move_zone() {
	"$tool" zone out z2 --key "$work/operator" --admin "$(admin 1)" \
		>/dev/null || fail "zone z2 was not taken out of service"
	tell_zone z2 true
	echo "zone z2 is out of service"
	end=$(($(date +%s) + 6))
	batch=0
	while [ "$(date +%s)" -lt $end ]; do
		send_traffic "c$batch" 20
		batch=$((batch + 1))
	done
	"$tool" zone in z2 --key "$work/operator" --admin "$(admin 1)" \
		>/dev/null || fail "zone z2 was not put into service"
	tell_zone z2 false
	send_traffic d 10
	echo "zone z2 is in service again"
}

summary() {
	echo
	echo "answers by status:"
	cat "$work"/traffic-* | sort | uniq -c
	echo
	"$standin" check-journals --unique-bodies --key "workshop/$key" \
		"$work"/*.journal
}

prepare

start_platform
start_targets
write_bundle
start_instances
retry 5 curl -sf -m 1 "$(admin 1)/healthz" || fail "no instance started"
retry 10 publish || fail "the bundle was not accepted: $(publish 2>&1)"
retry 6 bundle_in_force || fail "the bundle is not in force everywhere"
echo "bundle 1 is in force at 4 instances; 12 targets in 3 zones"
retry 15 all_ready || fail "not all instances are ready"
retry 10 get 1 "workshop/$key/state" || fail "key $key is not served"

send_traffic a 30 &
traffic_a=$!
send_traffic b 30 &
traffic_b=$!
ask_for_key &
asker=$!
pids="$pids $traffic_a $traffic_b $asker"
sleep 1.5
kill_owner
sleep 4
touch "$work/stop"
wait $traffic_a $traffic_b $asker
resend_order
move_zone
summary
code=$?
[ $code -eq 0 ] && echo "demo: done" || echo "demo: FAILED"
exit $code
