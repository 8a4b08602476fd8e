#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/papayasaild ] && [ -x review/bin/harness ] || exit 2
exec review/bin/harness turned-away review/2/record.txt
