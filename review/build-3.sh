#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/cmd-3/...
