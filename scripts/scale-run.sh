#!/usr/bin/env bash
# Hollow nodes, many in one process, beside real node processes and the
# stand-in platform, all on loopback. Prints what the hollow nodes spent and the
# memory of the real processes.
#
#   scripts/scale-run.sh NODES-PER-ZONE REAL-NODES FOLDER
set -euo pipefail

binary=${PEATGRADE:-target/release/peatgrade}
per_zone=$1
real=$2
folder=$3

"$binary" bench region --nodes-per-zone "$per_zone" --out "$folder/region"
NODES=$real FAULTS= scripts/local-cluster.sh start "$folder/region" "$folder/run" 17000 >/dev/null
"$binary" bench hollow "$folder/run" --skip "$real" --settle "${SETTLE:-60s}" --for "${FOR:-30s}"
for file in "$folder"/run/*.pid; do
    pid=$(cat "$file")
    echo "$(basename "$file" .pid) $(awk '/VmRSS/ {print $2, $3}' "/proc/$pid/status") rings $(find "/proc/$pid/fd" -lname '*io_uring*' | wc -l)"
done
scripts/local-cluster.sh stop "$folder/run"
