#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
JAYPIN_ROOT=$(cd ../.. && pwd) || exit 2
export JAYPIN_ROOT
[ -x "$JAYPIN_ROOT/target/review-2/case" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$JAYPIN_ROOT/target/review-2/case" strangers record.txt
