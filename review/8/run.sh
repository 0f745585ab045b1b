#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/radishwell ] && [ -x target/review-2/rig ] || exit 2
exec target/review-2/rig steps target/radishwell review/8/record.txt
