#!/bin/bash
# Builds the stand-ins of the cases review/11 to review/15: the store, the endpoints, the clients and the checks, in one program. It needs no
# network once the module's dependencies are there; the stand-ins use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review3 ./review/_standin3
