#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, without a network; run `cargo fetch --locked` first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
