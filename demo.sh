#!/usr/bin/env bash
# Builds all programs into bin/ and runs the demonstration on loopback.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./control/cmd/control ./entry/cmd/entry ./gateway/cmd/gateway ./rwctl/cmd/rwctl ./demo/cmd/rwdemo
exec bin/rwdemo "$@"
