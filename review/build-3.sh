#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and later start. It needs Go's standard library only.
set -e
cd "$(dirname "$0")/.."
GOWORK=off GOFLAGS=-mod=mod go build -o target/review/standin3 review/standin3/*.go
