#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts (cases 11 to 15). Needs no network: they have no
# dependencies. The program that the scripts start comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml \
    --target-dir target/review-3
