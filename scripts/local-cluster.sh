#!/usr/bin/env bash
# Starts the stand-in platform and the nodes of a deployment as processes of
# their own on this machine, or stops them again.
#
#   scripts/local-cluster.sh start examples/alumni [FOLDER] [FIRST-PORT]
#   scripts/local-cluster.sh stop [FOLDER]
#   scripts/local-cluster.sh kill NODE [FOLDER]      # kill -9 one node
#   scripts/local-cluster.sh restart NODE [FOLDER]   # start it again
#
# Process ids are kept in FOLDER/*.pid and processes are stopped by them.
set -euo pipefail

binary=${PEATGRADE:-target/release/peatgrade}

start_one() { # name, folder, command ...
    local name=$1 folder=$2
    shift 2
    "$@" >>"$folder/$name.log" 2>&1 &
    echo $! >"$folder/$name.pid"
}

stop_one() { # pid file, signal
    local pid
    pid=$(cat "$1")
    kill "-$2" "$pid" 2>/dev/null || true
    rm -f "$1"
}

start_node() { # name, folder
    start_one "$1" "$2" "$binary" node --settings "$2/$1.toml"
}

case ${1:-} in
start)
    deployment=$2
    folder=${3:-$(mktemp -d)}
    port=${4:-17000}
    mkdir -p "$folder"
    "$binary" plan "$deployment" --port "$port" --out "$folder" | tee "$folder/plan.txt"
    start_one platform "$folder" "$binary" emulate "$deployment" --port "$port" ${FAULTS:+--faults "$FAULTS"}
    limit=${NODES:-1000}
    while read -r kind name _; do
        if [ "$kind" = node ] && [ "$limit" -gt 0 ]; then
            start_node "$name" "$folder"
            limit=$((limit - 1))
        fi
    done <"$folder/plan.txt"
    echo "folder $folder"
    ;;
stop)
    folder=${2:?folder}
    for file in "$folder"/node-*.pid; do
        [ -e "$file" ] && stop_one "$file" TERM
    done
    sleep 3
    [ -e "$folder/platform.pid" ] && stop_one "$folder/platform.pid" TERM
    ;;
kill)
    stop_one "${3:?folder}/${2:?node}.pid" KILL
    ;;
restart)
    start_node "${2:?node}" "${3:?folder}"
    ;;
*)
    sed -n '2,11p' "$0"
    exit 2
    ;;
esac
