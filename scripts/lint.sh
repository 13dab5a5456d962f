#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources except generated ones. Sources that were found clean
# before are not checked again (tidy.sh). Needs build/compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^proto/generated/')
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 scripts/tidy.sh build
echo "format and linter are clean"
