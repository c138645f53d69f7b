#!/bin/sh
# Builds the daemon as deploy/system.toml says. The stand-ins are Python and need no build.
cd "$(dirname "$0")/.." && cargo build --release --locked -p ponddrift-serve
