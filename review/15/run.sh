#!/bin/sh
# Plays the case with real processes on loopback addresses: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/goldcreststand ] && [ -x target/review/standin3 ] || { echo "build first"; exit 2; }
RECORD="$PWD/review/15/record.txt" exec target/review/standin3 era-evacuation
