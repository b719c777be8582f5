#!/bin/sh
# Runs all test programs of a build folder and prints a summary line. Failures
# of the tests listed in KNOWN-RED.txt (lines "test: NAME") are printed, but do
# not count as failed. Programs that do no I/O run in parallel; the others have
# fixed addresses and run one after the other.
set -u
build=$1
root=$(dirname "$0")/..

run_test() {
	if timeout 600 "$1" >"$1.log" 2>&1; then
		echo 0 >"$1.log.status"
	else
		echo 1 >"$1.log.status"
	fi
}

# Runs the programs whose names are read.
run_all() {
	while read -r t; do
		run_test "$t"
	done
}

tests=""
for t in "$build"/test_*; do
	case "$t" in *.d | *.o | *.log | *.status) continue ;; esac
	tests="$tests $t"
	rm -f "$t.log.status"
done
# shellcheck disable=SC2086
is_pure='/test_(ed_|own|core|idem|adm|route|place|quar|member|codec|hist|disp)'
printf '%s\n' $tests | grep -E "$is_pure" | awk 'NR % 2' | run_all &
first=$!
printf '%s\n' $tests | grep -E "$is_pure" | awk 'NR % 2 == 0' | run_all &
second=$!
printf '%s\n' $tests | grep -vE "$is_pure" | run_all
wait "$first" "$second"

passed=0
failed=0
red=0
for t in $tests; do
	name=$(basename "$t")
	if [ "$(cat "$t.log.status" 2>/dev/null)" = 0 ]; then
		passed=$((passed + 1))
		tail -n 1 "$t.log" | sed "s/^/$name: /"
		continue
	fi
	cat "$t.log"
	if grep -qx "test: $name" "$root/KNOWN-RED.txt" 2>/dev/null; then
		red=$((red + 1))
		echo "$name: known red, see KNOWN-RED.txt"
	else
		failed=$((failed + 1))
		echo "$name: FAILED"
	fi
done
[ "$red" -gt 0 ] && echo "known red tests: $red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
