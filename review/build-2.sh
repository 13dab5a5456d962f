#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Needs only the packages that
# deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
    g++ -std=c++20 -O1 -o "target/review-2/$(basename "$source" .cc)" "$source" -pthread
done
