#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standins review/standins/main.rs
