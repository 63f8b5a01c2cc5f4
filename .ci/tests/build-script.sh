#!/usr/bin/env bash
# Tests deploy/build.sh on a workspace of one small program. Guards against a program of other
# sources, from a build folder that was carried over, being taken for that of the present ones.
set -euo pipefail
script=$(cd "$(dirname "$0")/../.." && pwd)/deploy/build.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
unset CARGO_TARGET_DIR CARGO_BUILD_TARGET_DIR
cd "$work"
program=target/release/peatgrade-platform

fail() {
    echo "build script: $1" >&2
    exit 1
}

# Writes the program's sources with a time before any build.
write_sources() {
    printf 'fn main() { %s }\n' "$1" >platform/src/main.rs
    find Cargo.toml platform -exec touch -d 2001-01-01 {} +
}

mkdir -p deploy crates platform/src
cp "$script" deploy/build.sh
printf '[workspace]\nresolver = "2"\nmembers = ["platform"]\n' >Cargo.toml
printf '[package]\nname = "peatgrade-platform"\nversion = "0.1.0"\nedition = "2021"\n' \
    >platform/Cargo.toml
write_sources 'print!("first");'
cargo generate-lockfile --offline --quiet

build() {
    bash deploy/build.sh >build.log 2>&1
}

build || fail "the first build fails: $(cat build.log)"
[ "$($program)" = first ] || fail "the first program is not built"

built=$(stat -c %Y.%i "$program")
build
[ "$(stat -c %Y.%i "$program")" = "$built" ] || fail "unchanged sources are built again"

write_sources 'print!("second");'
build
[ "$($program)" = second ] || fail "sources older than the build folder are not built"

write_sources 'broken'
if build; then
    fail "broken sources are built"
fi
[ ! -e "$program" ] || fail "a failed build leaves the program of other sources"
echo "build script: 4 passed, 0 failed"
