# Functions for scripts that run a small system on loopback; to be sourced. The
# script must set self (name for messages), build and work (folders), zones,
# n_zones, instances, services, sharded_services, numbers (of the targets of a
# service in a zone), service_us (time to run a request), limit_s (time limit of
# the script) and extra_settings (for each instance's file), and define
# bundle_text, which prints the first bundle.

pids=""
watchdog=""
tool=$build/wagtailshift
standin=$build/wagtailshift-standin
# Loopback addresses derived from the process id avoid ports that are in use.
net=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
export WAGTAILSHIFT_TOKEN_FILE="$work/token"

# ===== Processes =====

# Stops all processes that were started, by process id. SIGKILL follows after
# 5 s, so that instances have time to drain.
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

# Zombies (state Z) have ended and do not count as alive.
any_alive() {
	for p in $pids; do
		grep -q ') [^Z] ' "/proc/$p/stat" 2>/dev/null && return 0
	done
	return 1
}

fail() {
	echo "$self: $*" >&2
	for f in "$work"/instance-*.err; do
		[ -s "$f" ] && tail -n 5 "$f" >&2
	done
	cleanup
	exit 1
}

# start NAME COMMAND...: runs a command in the background; its output and
# process id go to files in the work folder
start() {
	name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	echo $! >"$work/$name.pid"
	pids="$pids $!"
}

# address_of NAME: waits for a stand-in to print its address, and prints that
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

# Creates the work folder and starts a watchdog that ends the script after
# limit_s seconds.
prepare() {
	rm -rf "$work"
	mkdir -p "$work" || exit 2
	trap 'cleanup; exit 1' INT TERM
	trap cleanup EXIT
	# Short sleeps: a killed watchdog leaves none running for long.
	(
		n=0
		while [ $n -lt "$limit_s" ]; do
			sleep 1
			n=$((n + 1))
		done
		echo "$self: not done after $limit_s s" >&2
		kill -TERM $$
	) &
	watchdog=$!
}

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
		--service-us "$service_us" --journal "$work/$name.journal" "$@"
}

start_targets() {
	entries=""
	for z in $zones; do
		for n in $numbers; do
			for s in $services; do start_target "$s" "$z" "$n"; done
			for s in $sharded_services; do
				start_target "$s" "$z" "$n" --sharded
			done
		done
	done
	for z in $zones; do
		for s in $services $sharded_services; do
			for n in $numbers; do
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
	bundle_text >"$work/bundle.json"
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
$extra_settings
END
}

start_instances() {
	random_hex 32 >"$work/secret"
	random_hex 32 >"$work/token"
	for i in $instances; do
		write_settings "$i" "z$(((i - 1) % n_zones + 1))"
		start "instance-$i" "$build/wagtailshiftd" \
			--config "$work/instance-$i.ini"
	done
}

# retry SECONDS COMMAND...: repeats a command until it succeeds or time is up
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
