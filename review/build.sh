#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program without dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
