#!/bin/sh
# Builds the stand-ins and callers of the cases of the second review, which need no library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standins-2/main.rs
