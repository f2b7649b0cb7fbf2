#!/usr/bin/env bash
# A second test of the fault of case 1 (rule ROUTE). Looks for an order that is run by a service to which no configuration sends it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review-standin ] || exit 2
mkdir -p review/1/route
exec target/review-standin added-route review/1/route
