#!/usr/bin/env bash
# Builds the project's programs and the stand-ins of the cases 11 to 15. Needs no network:
# the module of the stand-ins has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false GOWORK=off
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -C review/third -o "$PWD/target/review-third" .
