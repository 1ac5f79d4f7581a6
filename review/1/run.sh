#!/usr/bin/env bash
# The holder of the placement lease is stopped as planned, the answer to its release of the lease is lost, and the open
# connections between the machines go silent.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/limpethubd target/review/release; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
  fi
done
exec target/review/release -daemon target/limpethubd -record review/1/record.txt
