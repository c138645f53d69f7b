#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: one program, from the standard library only. Run it after
# the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins-2 review/stand-ins-2.rs
