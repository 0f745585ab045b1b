#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build command of
# deploy/system.toml builds the program under review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-stand ./review/stand
