#!/usr/bin/env bash
# Builds the program of the scripts review/6 to review/10: their stand-ins of the store, the engines and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 review/stand/main.go
