#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2; needs no package registry.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/scenarios/Cargo.toml --target-dir target/review-2
