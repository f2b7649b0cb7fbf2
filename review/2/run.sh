#!/usr/bin/env bash
# Looks for an order that is run by a service to which no configuration sends it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review-standin ] || exit 2
exec target/review-standin added-route review/2
