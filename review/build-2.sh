#!/usr/bin/env bash
# Builds the stand-ins of the second review without a network; run `cargo fetch --locked` first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review
