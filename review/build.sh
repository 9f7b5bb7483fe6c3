#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/standin .
