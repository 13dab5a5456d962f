#!/usr/bin/env bash
# Runs the build command of deploy/system.toml in a clean clone, as the deployment platform does.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
clone=$(mktemp -d)
trap 'rm -rf "$clone"' EXIT
git clone -q "$root" "$clone/tree"
cd "$clone/tree"
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
test -n "$line"
sh -c "$line" >"$clone/build.log" 2>&1 || { tail -40 "$clone/build.log"; exit 1; }
target/plantaind --version
