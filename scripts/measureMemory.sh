#!/usr/bin/env bash
# Measures the resident memory of an idle Node.js process and of each compiled program when idle; writes docs/figures/memory.json.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run -s build
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
key=a-key-shared-by-processes
hash=$(printf %s operator | sha256sum | cut -d' ' -f1)
start () { ROARR_LOG=false node "$@" > /dev/null & pids+=($!); }
start -e 'setInterval(() => {}, 1000)'
start packages/knapweedshunt-fakes/lib/main.js --role platform --port 47100
start packages/knapweedshunt-router/lib/main.js --vm vm-1 --data-centre dc-1 --platform-url http://127.0.0.1:47100 --peer-key "$key" --caller-port 47101 --peer-port 47102
start packages/knapweedshunt-control/lib/main.js --vm vm-1 --data-centre dc-1 --platform-url http://127.0.0.1:47100 --peer-key "$key" --router-url http://127.0.0.1:47102 --control-port 47103
start packages/knapweedshunt-admin/lib/main.js --platform-url http://127.0.0.1:47100 --peer-key "$key" --router-url http://127.0.0.1:47102 --control-url http://127.0.0.1:47103 --admin-port 47104 --operator-keys "$hash:viewer"
sleep 20
read_kb () { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
printf '{ "bareKb": %s, "routerKb": %s, "controlKb": %s, "adminKb": %s }\n' "$(read_kb "${pids[0]}")" "$(read_kb "${pids[2]}")" "$(read_kb "${pids[3]}")" "$(read_kb "${pids[4]}")" > docs/figures/memory.json
cat docs/figures/memory.json
