#!/usr/bin/env bash
# Builds the program that the deploy file runs.
#
# Cargo finds changed sources by their modification times. A build folder that was carried over
# from other sources can be newer than these, and its program would pass for up to date. The
# sources are therefore compared by content too, and nothing that was built from others is reused.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/release
stamp=$folder/.sources

digest_sources() {
    uname -m
    find Cargo.toml Cargo.lock crates platform -type f -not -path '*/tests/*' -print0 |
        LC_ALL=C sort -z | xargs -0 sha256sum | sha256sum
}

sources=$(digest_sources)
if [ "$sources" != "$(cat "$stamp" 2>/dev/null)" ]; then
    rm -rf "$folder"
    mkdir -p "$folder"
    printf '%s\n' "$sources" >"$stamp"
fi
# A failed build leaves no program of an earlier one.
if ! cargo build --release --locked -p peatgrade-platform; then
    rm -f "$folder/peatgrade-platform"
    exit 1
fi
