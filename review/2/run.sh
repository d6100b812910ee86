#!/usr/bin/env bash
# Loses the answer to the write that completes a good rollout. TROUBLE=0: the write is answered.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin lost-answer "$PWD" "$PWD/review/2"
