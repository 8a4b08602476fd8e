#!/bin/sh
# Builds the stand-ins and the runner of the scripts. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/harness
