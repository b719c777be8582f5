#!/bin/sh
# Measures slopes, prints them as CSV and renews the tables of
# docs/CAPACITY.md. Usage: capacity.sh [BUILD]
set -eu
build=${1:-build}
root=$(dirname "$0")/..
timeout 120 "$build/wagtailshift-capacity" "$root/docs/CAPACITY.md"
