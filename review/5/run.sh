#!/usr/bin/env bash
# Looks for requests that reach an endpoint with another path or query than the client sent.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review-standin ] || exit 2
exec target/review-standin empty-query review/5
