#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources except generated ones. Needs
# build/compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^proto/generated/')
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "format and linter are clean"
