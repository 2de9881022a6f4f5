#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review/. It needs no network: the
# module review has no dependencies.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o ../target/review/ ./cmd/...
