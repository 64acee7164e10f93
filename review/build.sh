#!/usr/bin/env bash
# Builds the stand-in program that all scripts of the review start. It needs no crate beyond those of
# the deploy build, in the same versions.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
