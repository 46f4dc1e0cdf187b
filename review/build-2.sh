#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, into bin/. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin2 ./review/standin2
