#!/bin/bash
# Looks for a tenant's usage cap that two nodes hand out at the same time, after one process was killed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption. Run it after the build of
# deploy/system.toml and review/build-3.sh; it writes record.txt beside itself.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/sidecar ] || [ ! -x target/review3 ]; then
	echo "build first: the line of deploy/system.toml, and review/build-3.sh"
	exit 2
fi
target/review3 quota review/13 &
pid=$!
trap 'kill -TERM $pid 2>/dev/null; wait $pid; exit 2' INT TERM HUP
wait $pid
