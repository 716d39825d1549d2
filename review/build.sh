#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review/. The project's own
# programs come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOFLAGS="${GOFLAGS:-} -mod=mod" GOPROXY=off go build -buildvcs=false -o ../target/review/ ./...
