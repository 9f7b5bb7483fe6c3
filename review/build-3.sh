#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network: they use only the standard
# library.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/standin-3 .
