#!/usr/bin/env bash
# Installs the Debian packages that the build, tests and linters need, if they are missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy pkg-config
    librestinio-dev libasio-dev libhttp-parser-dev libfmt-dev libgrpc++-dev libprotobuf-dev
    protobuf-compiler libboost-dev libboost-log-dev libboost-program-options-dev
    libcurl4-openssl-dev libtrompeloeil-cpp-dev catch2 nlohmann-json3-dev librapidcheck-dev
    libxxhash-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
