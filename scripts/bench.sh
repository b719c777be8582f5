#!/bin/sh
# Measures routing under load with real processes on loopback: three zones, ten
# instances and three services (unsharded idempotent, unsharded non-idempotent,
# sharded). Writes CSV files and a table. Arguments: the build folder, the pick
# policy (two-choices by default; round-robin is the baseline), and the names of
# experiments (all but throughput by default).
set -u

build=$(cd "$1" && pwd) || exit 2
pick=${2:-two-choices}
chosen="steady added zone slowed flood skewed sharded"
[ $# -gt 2 ] && shift 2 && chosen="$*"
hedge=on
[ "$pick" = round-robin ] && hedge=off
work=$build/bench-$pick
zones="z1 z2 z3"
n_zones=3
instances="1 2 3 4 5 6 7 8 9 10"
services="records collections"
sharded_services=workshop
numbers="1 2 3"
service_us=4000
rate_big=1000
# Fast targets and a high rate, so that the instance is the bottleneck.
if [ "$chosen" = throughput ]; then
	service_us=100
	rate_big=100000
	instances="1"
fi
extra_settings="[routing]
pick = $pick
hedge = $hedge"
self=bench
limit_s=240
table=$work/table

. "$(dirname "$0")/system.sh"

bundle_text() {
	cat <<END
{"version": 1, "base": 0, "settings": {"partitions": 24},
 "services": [
  {"name": "records", "access": "public", "sharded": false,
   "idempotent": true, "slots": 4, "deadline_ms": 2000},
  {"name": "collections", "access": "public", "sharded": false,
   "idempotent": false, "slots": 4, "deadline_ms": 2000},
  {"name": "workshop", "access": "public", "sharded": true, "shards": 64,
   "idempotent": false, "checks_fences": true, "slots": 4,
   "deadline_ms": 2000}],
 "customers": [{"name": "big", "rate": $rate_big, "burst": $((rate_big / 2))},
  {"name": "middle", "rate": 400, "burst": 200},
  {"name": "small", "rate": 100, "burst": 100}],
 "keys": [{"customer": "big", "hash": "$(key_hash big)"},
  {"customer": "middle", "hash": "$(key_hash middle)"},
  {"customer": "small", "hash": "$(key_hash small)"}],
 "zones": [{"name": "z1", "in_service": true},
  {"name": "z2", "in_service": true}, {"name": "z3", "in_service": true}],
 "operators": ["$(cat "$work/operator.pub")"]}
END
}

# key_hash CUSTOMER: prints the hash of its caller key, created on first use
key_hash() {
	[ -e "$work/$1.json" ] || "$tool" caller-key --json >"$work/$1.json"
	json_field key <"$work/$1.json" >"$work/$1.key"
	json_field hash <"$work/$1.json"
}

# load NAME SECONDS OPTION...: runs the load tool; reports go to the work folder
load() {
	name=$1 seconds=$2
	shift 2
	"$build/wagtailshift-bench" run -q -d "$seconds" --warmup 1 \
		--timeout-ms 4000 --csv "$work/$name.csv" \
		--json "$work/$name.load.json" --svg "$work/$name.svg" "$@" ||
		fail "the load tool failed in $name"
}

all_urls() {
	for i in $instances; do printf -- '-u %s ' "$(callers "$i")"; done
}

# customers BIG MIDDLE SMALL: prints options for these rates in requests/s
customers() {
	echo "-c big:$1:@$work/big.key -c middle:$2:@$work/middle.key
	-c small:$3:@$work/small.key"
}

target_fault() {
	a=$(sed -n 's/^listening on //p' "$work/$1.out")
	curl -s -m 1 -d "$2" "http://$a/fault" >/dev/null
}

# report NAME: adds one row per customer of a run to the table
report() {
	awk -F, -v run="$1" -v pick="$pick" 'NR == 1 {
		for (i = 1; i <= NF; i++) col[$i] = i
		next
	}
	{
		due = $col["due"]; served = $col["served"]
		printf "%-11s %-9s %-8s %6d %8.3f %8.2f %8.2f\n", pick, run,
			$col["customer"], due, due ? 100 * served / due : 0,
			$col["p50_us"] / 1000, $col["p99_us"] / 1000
	}' "$work/$1.csv" | tee -a "$table"
}

# ===== Experiments =====

steady() {
	load steady 12 $(all_urls) $(customers 600 240 60) -p '/s/records/{key}'
	report steady
	imbalance records
}

# Latency that an instance adds: the same load is sent directly to three targets
# and then through one instance.
added() {
	direct=""
	for t in records-z1-1 records-z2-1 records-z3-1; do
		a=$(sed -n 's/^listening on //p' "$work/$t.out")
		direct="$direct -u http://$a"
	done
	for rate in 100 300; do
		load direct-$rate 6 $direct -c big:$rate -p '/{key}'
		report direct-$rate
		load via-$rate 6 -u "$(callers 1)" -p '/s/records/{key}' \
			-c big:$rate:@"$work/big.key"
		report via-$rate
	done
}

# Throughput of one instance; the same load is first sent directly to the
# targets.
throughput() {
	direct=""
	for f in "$work"/records-*.out; do
		direct="$direct -u http://$(sed -n 's/^listening on //p' "$f")"
	done
	for rate in 2000 5000 10000 15000; do
		load direct-$rate 4 $direct -c big:$rate -p '/{key}' \
			--connections 16
		report direct-$rate
		before=$(cpu_ticks instance-1)
		load via-$rate 4 -u "$(callers 1)" -p '/s/records/{key}' \
			-c big:$rate:@"$work/big.key" --connections 64
		report via-$rate
		echo "instance: $((($(cpu_ticks instance-1) - before) * 10)) ms" \
			"of processor time in 4 s" | tee -a "$table"
	done
}

# cpu_ticks NAME: processor time of a process in ticks of 10 ms
cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/$(cat "$work/$1.pid")/stat"
}

zone() {
	(
		sleep 5
		"$tool" zone out z2 --key "$work/operator" \
			--admin "$(admin 1)" >/dev/null
		sleep 6
		"$tool" zone in z2 --key "$work/operator" \
			--admin "$(admin 1)" >/dev/null
	) &
	load zone 17 $(all_urls) $(customers 600 240 60) -p '/s/records/{key}'
	report zone
}

slowed() {
	for t in records-z1-1 records-z2-1; do
		target_fault "$t" '{"slow":10,"false_load":250}'
	done
	load slowed 12 $(all_urls) $(customers 600 240 60) -p '/s/records/{key}'
	report slowed
	for t in records-z1-1 records-z2-1; do
		target_fault "$t" '{"slow":1,"false_load":-1}'
	done
}

# One customer sends five times its rate; the others stay within theirs.
flood() {
	load flood 12 $(all_urls) $(customers 5000 240 60) \
		-p '/s/records/{key}' --max-in-flight 4000
	report flood
}

# Every customer uses 90 % of its rate and sends 80 % of that through one
# instance. Another instance is killed and restarted under load.
skewed() {
	(
		sleep 4
		kill -9 "$(cat "$work/instance-10.pid")"
		sleep 3
		start instance-10 "$build/wagtailshiftd" \
			--config "$work/instance-10.ini"
		echo $! >"$work/again.pid"
	) &
	load skewed 14 -u "$(callers 1)=80" -u "$(callers 2)=4" \
		-u "$(callers 3)=4" -u "$(callers 4)=4" -u "$(callers 5)=4" \
		-u "$(callers 6)=4" \
		$(customers 900 360 90) -p '/s/records/{key}'
	report skewed
	[ -e "$work/again.pid" ] && pids="$pids $(cat "$work/again.pid")"
}

sharded() {
	load sharded 10 $(all_urls) $(customers 400 160 40) -m POST \
		-p '/s/workshop/{key}/refit' --distribution zipf \
		--zipf-exponent 0.6 -k 2000
	report sharded
	imbalance workshop
}

# imbalance SERVICE: prints the most requests that one of its targets ran,
# divided by the mean over its targets
imbalance() {
	for f in "$work/$1"-*.journal; do
		grep -c '"event":"run"' "$f"
	done | awk -v s="$1" '{ n++; sum += $1; if ($1 > max) max = $1 }
	END { printf "imbalance %s: %d runs, max/mean %.3f\n", s, sum,
		max * n / sum }' | tee -a "$table"
}

prepare

start_platform
start_targets
write_bundle
start_instances
retry 10 publish || fail "the bundle was not published"
retry 10 bundle_in_force || fail "the bundle is not in force everywhere"
retry 10 all_ready || fail "the instances are not ready"
sleep 2
echo "policy      run       customer    due served_% p50_ms   p99_ms" |
	tee "$table"
for e in $chosen; do $e; done
"$standin" check-journals "$work"/*.journal | tee -a "$table"
