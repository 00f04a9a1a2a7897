#!/usr/bin/env bash
# Builds the stand-ins of the third review: the standard library only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig-3 review/rig-3/main.rs
