#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start. No dependencies, no network.
set -euo pipefail
cd "$(dirname "$0")/stand_in_2"
cargo build --release --offline --locked
