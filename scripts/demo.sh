#!/usr/bin/env bash
# Installs missing packages, builds, and runs the demo: the stand-ins of both deployments, 6 routers
# each, a load with recurring chats, and a catalogue edit. Exits with 0 only if all checks pass.
# PLANTAIN_PORT_OFFSET is added to all ports.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target plantaind plantain-lab
work=$(mktemp -d)
offset=${PLANTAIN_PORT_OFFSET:-0}
routers=()
cleanup() {
    for router in "${routers[@]}"; do kill "$router" 2>/dev/null || true; done
    wait "${routers[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
for settings in $(build/plantain-lab settings --directory "$work" --port-offset "$offset"); do
    build/plantaind --config "$settings" 2>"$settings.log" &
    routers+=("$!")
done
build/plantain-lab demo --port-offset "$offset" "$@"
