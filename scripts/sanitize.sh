#!/usr/bin/env bash
# Runs all tests under AddressSanitizer and UndefinedBehaviorSanitizer, and the tests of data shared
# between threads under ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-g1 -O1" \
    -DPLANTAINSWITCH_SANITIZE=address,undefined >/dev/null
cmake --build build-asan
scripts/ctest.sh build-asan 4
cmake -S . -B build-tsan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-g1 -O1" \
    -DPLANTAINSWITCH_SANITIZE=thread >/dev/null
cmake --build build-tsan --target test-concurrency
ctest --test-dir build-tsan --output-on-failure -R '^concurrency$'
