#!/bin/sh
# Builds the stand-ins of the scripts of cases 11 to 15; run in the root of the repository.
set -e
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standins review/standins-3/main.rs
