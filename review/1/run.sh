#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-standins ] || exit 2
TROUBLE="${TROUBLE:-1}" exec ../../target/review-standins stop ../.. record.txt
