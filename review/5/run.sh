#!/bin/sh
# A request that crashes three engines comes again and is never refused.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
export PONDDRIFT_SERVE="${PONDDRIFT_SERVE:-$PWD/../../target/release/ponddrift-serve}"
stand_ins=../../target/review-2/stand-ins-2
[ -x "$PONDDRIFT_SERVE" ] && [ -x "$stand_ins" ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
exec "$stand_ins" same-request
