#!/usr/bin/env bash
# Builds the stand-ins of the third review from the packages that `cargo fetch --locked` has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review
