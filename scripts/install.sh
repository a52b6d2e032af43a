#!/usr/bin/env bash
# Installs the missing Debian packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config python3 curl clang-format clang-tidy
    libevent-dev libevhtp-dev libzmq3-dev cppzmq-dev libprotobuf-dev libboost-dev libyaml-cpp-dev nlohmann-json3-dev
    libdocopt-dev libfmt-dev libxxhash-dev libssl-dev libcriterion-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}" >&2
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
