#!/usr/bin/env bash
# A second test of the fault of case 2 (rule DRAIN): the node has just been killed and started again when the endpoint leaves.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review-standin ] || exit 2
mkdir -p review/2/restart
exec target/review-standin late-ping-restart review/2/restart
