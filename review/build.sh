#!/usr/bin/env bash
# Builds the stand-ins that the cases start. No dependencies, no network.
set -euo pipefail
cd "$(dirname "$0")/stand_in"
cargo build --release --offline --locked
