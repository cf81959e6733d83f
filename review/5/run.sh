#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/stand ] && [ -x target/cranberrymill ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec review/target/stand added review/5/record.txt
