#!/bin/bash
# Builds the stand-ins of the cases: review/bin/standin. The build of the deploy file must have been run before.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/standin .
