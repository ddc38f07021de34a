#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs, which need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/tests/*.rs; do
    program=$(basename "$source" .rs)
    rustc --edition 2024 -O -A dead_code -o "target/review/$program" "$source"
done
