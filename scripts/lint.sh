#!/bin/sh
# Runs clang-tidy on the given source files in parallel.
set -eu
flags="-std=gnu11 -I. -Ilib -Ilib/wire $(pkg-config --cflags libmicrohttpd libcurl \
	glib-2.0 libtirpc libsodium libxxhash jansson inih check)"
# shellcheck disable=SC2086
printf '%s\n' "$@" | xargs -P 8 -n 2 sh -c \
	'clang-tidy --quiet "$@" -- '"$flags"' 2>/dev/null' sh
echo "lint: clean"
