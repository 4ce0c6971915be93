#!/bin/bash
# Builds the stand-ins of the second review. They need the standard library alone.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../bin
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../bin/review-2 .
