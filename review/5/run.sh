#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/rig2 ] || [ ! -x target/papayasaild ]; then
  echo "build the programs and review/build-2.sh first" >&2
  exit 2
fi
exec review/bin/rig2 shed-and-drop target/papayasaild review/5/record.txt
