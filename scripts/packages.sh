#!/usr/bin/env bash
# Installs what the build needs, from Debian's packages. Does nothing where all is there.
set -eu
PACKAGES="build-essential cmake ninja-build pkg-config python3 clang-format clang-tidy curl
    libevent-dev libboost-dev libabsl-dev libspdlog-dev libfmt-dev libcppunit-dev librapidcheck-dev
    libjsoncpp-dev libjsonrpccpp-dev libxxhash-dev tao-pegtl-dev libssl-dev libhttp-parser-dev
    libmsgpack-cxx-dev libzstd-dev"
missing=""
for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
SUDO=""
[ "$(id -u)" = 0 ] || SUDO=sudo
$SUDO apt-get update -qq
# shellcheck disable=SC2086
$SUDO env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
