#!/bin/sh
# Runs the soak test once for each seed of a range, JOBS runs at a time. Further
# options go to build/soak. Usage: soak.sh BUILD FIRST..LAST JOBS [OPTION...]
set -u
build=$1
first=${2%%..*}
last=${2##*..}
jobs=$3
shift 3
work=$build/soak-work
mkdir -p "$work"
run() {
	seed=$1
	shift
	out=$work/$seed.out
	rm -rf "$work/$seed"
	if "$build/soak" --seed "$seed" --edge "$build/wagtailshift-edge" \
		--dir "$work/$seed" "$@" >"$out" 2>&1; then
		rm -rf "$work/$seed"
	else
		grep VIOLATION "$out" | head -n 5
		echo "seed $seed failed; see $out and $work/$seed"
	fi
	tail -n 1 "$out"
}
n=0
seed=$first
while [ "$seed" -le "$last" ]; do
	run "$seed" "$@" &
	n=$((n + 1))
	[ $((n % jobs)) -eq 0 ] && wait
	seed=$((seed + 1))
done
wait
passed=$(grep -l ': passed' "$work"/*.out 2>/dev/null | wc -l)
echo "soak: $n seeds from $first to $last run, $passed logs say passed"
seed=$first
while [ "$seed" -le "$last" ]; do
	grep -q ': passed' "$work/$seed.out" || exit 1
	seed=$((seed + 1))
done
