#!/usr/bin/env bash
# Orders the next version of a service just after a bad one was rolled back. TROUBLE=0: no next version is ordered.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin next-order "$PWD" "$PWD/review/4"
