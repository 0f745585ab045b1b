#!/usr/bin/env bash
# Builds the stand-ins of the cases that review/play-3.sh plays. They use packages of this module and the standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-drive ./review/drive
