#!/usr/bin/env bash
# Looks for requests that reach an endpoint later than DrainMs after its leaving was acknowledged.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review-standin ] || exit 2
exec target/review-standin late-ping review/2
