#!/bin/sh
# Builds the program of the second review's scripts, with its stand-ins for runners,
# requesters, the operator and the platform, into target/review-2. It needs no network.
set -e
cd "$(dirname "$0")/second"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/second .
