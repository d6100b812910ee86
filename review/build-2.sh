#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review/standin2 -o ../../target/standin2 .
