#!/bin/sh
# Runs all test programs of a build folder and prints a summary line. Failures
# of the tests listed in KNOWN-RED.txt (lines "test: NAME") are printed, but do
# not count as failed.
set -u
build=$1
root=$(dirname "$0")/..
passed=0
failed=0
red=0
for t in "$build"/test_*; do
	case "$t" in *.d | *.o | *.log) continue ;; esac
	name=$(basename "$t")
	if timeout 600 "$t" >"$t.log" 2>&1; then
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
