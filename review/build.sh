#!/usr/bin/env bash
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
