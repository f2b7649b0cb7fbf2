#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. The nodes themselves are built by the line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
exec go build -o target/standin2 ./review/_standin2
