#!/bin/sh
# Measures how memory, network and processor use grow with size, prints CSV and
# updates the tables of docs/CAPACITY.md. Usage: capacity.sh [BUILD]
set -eu
build=${1:-build}
root=$(dirname "$0")/..
timeout 120 "$build/wagtailshift-capacity" "$root/docs/CAPACITY.md"
