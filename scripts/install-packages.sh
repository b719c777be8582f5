#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -eu
packages="gcc make pkg-config curl clang clang-format clang-tidy
	libev-dev libhttp-parser-dev libmicrohttpd-dev libcurl4-gnutls-dev libglib2.0-dev check
	libtirpc-dev libsodium-dev libxxhash-dev libjansson-dev libinih-dev
	libclang-rt-14-dev"
missing=""
for p in $packages; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
	--no-install-recommends $missing >/dev/null
