#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 to 8 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/rig ./review/drive
