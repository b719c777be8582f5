#!/bin/sh
# Builds the stand-ins of the review cases into target/review. They need libev
# only, which the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.c; do
	[ -f "$case" ] || continue
	n=$(basename "$(dirname "$case")")
	gcc -std=gnu11 -Wall -Wextra -Wshadow -O2 -g -o "target/review/case-$n" \
		"$case" review/common/rig.c -lev
done
