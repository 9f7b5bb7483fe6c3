#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network: they use only the standard
# library.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/standin-3 .
cd ..
# The stand-ins of the second review with another script for the stop of an entry.
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp standin-2/*.go standin-2/go.mod "$copy"
cp standin-3/testdata/stop.go "$copy"
root=$(cd .. && pwd)
cd "$copy"
GOWORK=off GOFLAGS=-buildvcs=false go build -o "$root/target/standin-3-stop" .
