#!/bin/sh
# Mutation testing: builds each mutation listed in tests/MUTANTS.* and checks
# that its test fails. A mutation that passes shows a gap in the test.
# Usage: mutants.sh [NAME...]
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 1
out=build-mutants
mkdir -p "$out"

# try_mutant NAME TEST SEEDS: each mutation has its own build folder, so that
# several can run in parallel.
try_mutant() {
	name=$1
	test=$2
	dir=$out/$name-$test
	if ! make -s BUILD="$dir" OPT="-O1" \
		MUTANT="-DWS_MUTANT_$name -Wno-error" "$dir/$test" \
		>"$dir.log" 2>&1; then
		echo "$name $test: BUILD FAILED"
		return
	fi
	[ "$3" = - ] || export WS_SEEDS="$3"
	if timeout 300 "$dir/$test" >"$dir.log" 2>&1; then
		echo "$name $test: MISSED"
	else
		echo "$name $test: caught"
	fi
	rm -rf "$dir"
}

if [ "${WS_MUTANT_ONE:-}" ]; then
	try_mutant "$1" "$2" "$3"
	exit 0
fi

# The lists have lines "NAME TEST [SEEDS]"; missing seeds are written as "-".
cat tests/MUTANTS.* | grep -v '^#' | grep -v '^$' |
	awk '{ print $1, $2, $3 ? $3 : "-" }' >"$out/list"
if [ $# -gt 0 ]; then
	for n in "$@"; do grep "^$n " "$out/list"; done >"$out/chosen"
else
	cp "$out/list" "$out/chosen"
fi

xargs -P 4 -n 3 env WS_MUTANT_ONE=1 sh "$0" <"$out/chosen" | tee "$out/result"
caught=$(grep -c ': caught$' "$out/result")
missed=$(grep -vc ': caught$' "$out/result")
echo "mutants: $caught caught, $missed missed"
[ "$missed" -eq 0 ] && [ "$caught" -gt 0 ]
