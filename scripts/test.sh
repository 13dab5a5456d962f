#!/usr/bin/env bash
# Installs what is missing, builds, runs all tests, closes with CTest's summary.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
ctest --test-dir build --output-on-failure -j "$(nproc)"
