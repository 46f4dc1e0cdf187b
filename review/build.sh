#!/bin/sh
# Builds the stand-ins that the scripts of this folder start, into bin/ at the repository's root.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/standin
