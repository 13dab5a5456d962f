#!/usr/bin/env bash
# Tests that scripts/wirenames.sh detects a name of the platform's API outside platform/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir -p "$copy"/{include,src,daemon,gateway,net,ctl,lab,proto}
touch "$copy/proto/peer.proto"
"$root/scripts/wirenames.sh" "$copy" >/dev/null
echo 'constexpr auto field = "X-Attempt-Id";' > "$copy/gateway/stray.cpp"
if "$root/scripts/wirenames.sh" "$copy" >/dev/null 2>&1; then
    echo "scripts/wirenames.sh did not detect X-Attempt-Id in gateway/stray.cpp" >&2
    exit 1
fi
"$root/scripts/wirenames.sh" "$root"
