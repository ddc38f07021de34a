#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review. Needs the Rust compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/kit-2/tests/main.rs
