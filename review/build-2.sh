#!/usr/bin/env bash
# Builds the stand-ins of the second review into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/rig2
