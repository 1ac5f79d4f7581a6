#!/usr/bin/env bash
# Builds what the scripts of the second review's cases start beside the daemon: one program a case, with the clients, the
# servers and the platform's store in it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/cmd-2/...
