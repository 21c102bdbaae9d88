#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
