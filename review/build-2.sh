#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which use the standard library only, to target/review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/review-2 review/standin-2/main.rs
