#!/usr/bin/env bash
# Looks for an order that runs twice because its request is handled by a route whose prefix does not begin its path.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review-standin ] || exit 2
exec target/review-standin nested-route review/1
