#!/usr/bin/env bash
# Shows that scripts/wirenames.sh finds a name of the platform that strayed into the product.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir -p "$copy"/{include,src,daemon,gateway,net,ctl,lab,proto}
touch "$copy/proto/peer.proto"
"$root/scripts/wirenames.sh" "$copy" >/dev/null
echo 'constexpr auto field = "X-Attempt-Id";' > "$copy/gateway/stray.cpp"
if "$root/scripts/wirenames.sh" "$copy" >/dev/null 2>&1; then
    echo "a stray name was not found" >&2
    exit 1
fi
"$root/scripts/wirenames.sh" "$root"
