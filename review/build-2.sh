#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-2/ .
