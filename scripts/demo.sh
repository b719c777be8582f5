#!/bin/sh
# Runs the router once with stand-ins on loopback: four instances and twelve
# targets in three zones, an open and a sharded service. It kills the owner of
# a key, resends an order and prints a summary from the targets' journals.
# Stops all that it started and ends within 60 s. Argument: the build folder.
set -u

build=$(cd "$1" && pwd) || exit 2
work=$build/demo
tool=$build/wagtailshift
standin=$build/wagtailshift-standin
zones="z1 z2 z3"
instances="1 2 3 4"
limit_s=55
key=hall-7
pids=""
watchdog=""
# A loopback address of this run's own avoids ports that are in use.
net=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
export WAGTAILSHIFT_TOKEN_FILE="$work/token"

# ===== Processes =====

# Stops what was started, by process id; gives instances time to drain.
cleanup() {
	trap - EXIT INT TERM
	touch "$work/stop"
	[ -n "$watchdog" ] && kill "$watchdog" 2>/dev/null
	for p in $pids; do kill "$p" 2>/dev/null; done
	n=0
	while [ $n -lt 50 ] && any_alive; do
		sleep 0.1
		n=$((n + 1))
	done
	for p in $pids; do kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	pids=""
}

# A process that has ended but was not waited for is in state Z.
any_alive() {
	for p in $pids; do
		grep -q ') [^Z] ' "/proc/$p/stat" 2>/dev/null && return 0
	done
	return 1
}

fail() {
	echo "demo: $*" >&2
	for f in "$work"/instance-*.err; do
		[ -s "$f" ] && tail -n 5 "$f" >&2
	done
	cleanup
	exit 1
}

# start NAME COMMAND...: runs in the background with output in the work folder
start() {
	name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	echo $! >"$work/$name.pid"
	pids="$pids $!"
}

# Waits for a stand-in to say where it listens.
address_of() {
	n=0
	while [ $n -lt 50 ]; do
		a=$(sed -n 's/^listening on //p' "$work/$1.out")
		[ -n "$a" ] && echo "$a" && return 0
		sleep 0.1
		n=$((n + 1))
	done
	return 1
}

admin() { echo "http://$net.$1:7900"; }
callers() { echo "http://$net.$1:7800"; }

# ===== Platform =====

start_platform() {
	start log "$standin" log --listen 127.0.0.1:0
	start list "$standin" list --listen 127.0.0.1:0
	log=$(address_of log) || fail "the log stand-in did not start"
	list=$(address_of list) || fail "the list stand-in did not start"
}

# start_target SERVICE ZONE NUMBER OPTION...
start_target() {
	service=$1 zone=$2 name=$1-$2-$3
	shift 3
	start "$name" "$standin" target --listen 127.0.0.1:0 --name "$name" \
		--service "$service" --zone "$zone" --slots 4 \
		--service-us 2000 --journal "$work/$name.journal" "$@"
}

start_targets() {
	entries=""
	for z in $zones; do
		for n in 1 2; do
			start_target orders "$z" $n
			start_target workshop "$z" $n --sharded
		done
	done
	for z in $zones; do
		for s in orders workshop; do
			for n in 1 2; do
				a=$(address_of "$s-$z-$n") ||
					fail "target $s-$z-$n did not start"
				entries="$entries,{\"role\":\"target\",
				\"name\":\"$s-$z-$n\",\"zone\":\"$z\",
				\"address\":\"$a\",\"service\":\"$s\",
				\"state\":\"live\"}"
			done
		done
	done
	curl -sf -d "{\"entries\":[${entries#,}]}" "http://$list/list" \
		>/dev/null || fail "the list refused the targets"
}

# ===== Router =====

random_hex() { od -An -tx1 -N"$1" /dev/urandom | tr -d ' \n'; }

json_field() { sed -n "s/^ *\"$1\": \"\{0,1\}\([^\",]*\)\"\{0,1\},\{0,1\}\$/\1/p"; }

write_bundle() {
	"$tool" keygen "$work/operator" >/dev/null || fail "keygen failed"
	"$tool" caller-key --json >"$work/caller.json" || fail "no caller key"
	caller=$(json_field key <"$work/caller.json")
	hash=$(json_field hash <"$work/caller.json")
	cat >"$work/bundle.json" <<END
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
	"$tool" bundle sign "$work/bundle.json" --key "$work/operator" \
		--out "$work/envelope.json" || fail "the bundle was refused"
}

# write_settings NUMBER ZONE
write_settings() {
	cat >"$work/instance-$1.ini" <<END
[instance]
name = instance-$1
zone = $2
seed_operator_key = $(cat "$work/operator.pub")
[listen]
callers = $net.$1:7800
internal = $net.$1:7801
peers = $net.$1:7802
admin = $net.$1:7900
[platform]
log = http://$log
list = http://$list
[cluster]
secret_file = $work/secret
[admin]
token_file = $work/token
[limits]
shutdown_time = 2 s
END
}

start_instances() {
	random_hex 32 >"$work/secret"
	random_hex 32 >"$work/token"
	for i in $instances; do
		write_settings "$i" "z$(((i - 1) % 3 + 1))"
		start "instance-$i" "$build/wagtailshiftd" \
			--config "$work/instance-$i.ini"
	done
}

# retry SECONDS COMMAND...: until it succeeds
retry() {
	tries=$(($1 * 10))
	shift
	while [ $tries -gt 0 ]; do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
		tries=$((tries - 1))
	done
	return 1
}

publish() {
	"$tool" bundle publish "$work/envelope.json" --admin "$(admin 1)"
}

bundle_in_force() {
	for i in $instances; do
		"$tool" status --json --admin "$(admin "$i")" |
			grep -q '"bundle_version": 1' || return 1
	done
}

all_ready() {
	for i in $instances; do
		curl -sf -m 1 "$(admin "$i")/readyz" || return 1
	done
}

# ===== Traffic =====

# UUID version 7 of the present second
request_id() {
	t=$(printf '%012x' "$(date +%s)000")
	r=$(random_hex 9)
	a=$(echo "$t" | cut -c1-8)
	b=$(echo "$t" | cut -c9-12)
	echo "$a-$b-7$(echo "$r" | cut -c1-3)-8$(echo "$r" |
		cut -c4-6)-$(echo "$r" | cut -c7-18)"
}

# post INSTANCE PATH ID BODY: prints the answer and a last line with the status
post() {
	curl -s -m 4 -w '\n%{http_code}\n' -H "Authorization: Bearer $caller" \
		-H "Idempotency-Key: $3" -d "$4" "$(callers "$1")/s/$2"
}

get() {
	curl -sf -m 0.5 -H "Authorization: Bearer $caller" \
		"$(callers "$1")/s/$2"
}

# Sends count requests to both services through all instances.
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

# Asks for the key until the file "stop" appears, without a pause.
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

# tell_zone ZONE true|false: notes in the journals what operators did
tell_zone() {
	for f in "$work"/*-"$1"-*.out; do
		a=$(sed -n 's/^listening on //p' "$f")
		curl -s -m 1 -d "{\"out_of_service\":$2}" "http://$a/fault" \
			>/dev/null
	done
}

# Takes a zone out of service under traffic and puts it back.
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

rm -rf "$work"
mkdir -p "$work" || exit 2
trap 'cleanup; exit 1' INT TERM
trap cleanup EXIT
# Short naps, so that no long sleep is left behind.
(
	n=0
	while [ $n -lt $limit_s ]; do
		sleep 1
		n=$((n + 1))
	done
	echo "demo: not done after $limit_s s" >&2
	kill -TERM $$
) &
watchdog=$!

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
