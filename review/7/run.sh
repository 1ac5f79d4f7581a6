#!/usr/bin/env bash
# A server leaves while a machine is cut off, the store forgets its history, and the other machines are restarted in turn.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/limpethubd target/review-2/restarted-peers; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
  fi
done
exec target/review-2/restarted-peers -daemon target/limpethubd -record review/7/record.txt
