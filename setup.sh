#!/bin/sh
# Installs the missing Debian packages that the build and the tests need.
# Requires root if any is missing.
packages="gcc make pkg-config curl libh2o-evloop-dev libhttp-parser-dev libssl-dev
    libprotobuf-c-dev protobuf-c-compiler libglib2.0-dev libjansson-dev
    libzstd-dev libcunit1-dev clang-format clang-tidy cppcheck"
missing=""
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -qq &&
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
