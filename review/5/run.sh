#!/usr/bin/env bash
# Looks for sound endpoints that get no requests because their nodes wait for bodies that a frozen machine does not send.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sidecar ] && [ -x target/review-standin ] || exit 2
exec target/review-standin frozen-sender review/5
