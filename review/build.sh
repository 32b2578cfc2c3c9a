#!/usr/bin/env bash
# Builds the stand-ins that the scripts in this folder start: one program of the standard library alone.
# The project's own programs come from the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/lab review/lab/main.rs
