#!/usr/bin/env bash
# Measures what one router adds compared with direct connections to the same stand-ins in one run:
# latency, short requests per second and core, and memory with a thousand open streams. Then measures
# the resources of a router with --dialect platform: start, idle, per request, per event and with open
# streams. Prints two JSON documents.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${PLANTAIN_BUILD:-build}
work=$(mktemp -d)
started=()
cleanup() {
    for process in "${started[@]}"; do kill "$process" 2>/dev/null || true; done
    wait "${started[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
ulimit -n 16384
settings=$("$build/plantain-lab" settings --deployment bench --directory "$work")
"$build/plantain-lab" stand-ins --deployment bench >/dev/null &
started+=("$!")
"$build/plantaind" --config "$settings" 2>"$work/log" &
router=$!
started+=("$router")
sleep 3
"$build/plantain-lab" relay --deployment bench --router-pid "$router"
"$build/tests/plantain-weight" --program "$build/plantaind" --directory "$work"
