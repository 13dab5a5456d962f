#!/usr/bin/env bash
# Checks that headers, JSON keys and paths of the platform's API occur only in platform/, so that
# another platform needs only another translation layer there. Takes the directory of a checkout, this
# one by default. tests/wirenames.sh tests that it detects such a name elsewhere.
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
names='X-(Attempt-Id|Time-Budget|Prompt-Prefix|Token-Count|Model|Tenant|Expect-Instance|Server-Stamp'
names+='|Not-Executed|Cold-Time|Replica-Load|Replica-Id|Urgency-Class|Hold|Pin-Time|Kv-Backup)|Kv-(From|Fetch)|Server-Leaving'
names+='|"(pathPrefix|maxAttempts|goalMs|timeoutMs|gapGoalMs|apiKeys|healthPath|connLimit|kvCapacity'
names+='|asOf|hasMore|afterRev|waitMs|coldLeftMs|draining|non_idempotent)"|/objects/(config|servers)|fleetbench'
if grep -rInE "$names" --include='*.cpp' --include='*.h' --include='*.proto' \
    include src daemon gateway net ctl lab proto/peer.proto; then
    echo "names of the platform's API outside platform/: translate them there" >&2
    exit 1
fi
echo "no names of the platform's API outside platform/"
