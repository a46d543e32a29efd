#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts; the build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig-3 review/rig/*.go
