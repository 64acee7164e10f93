#!/bin/sh
# Builds the stand-in that the scripts of cases 6 to 10 start; it needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
