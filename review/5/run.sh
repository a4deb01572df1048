#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout --signal=TERM --kill-after=3 112 node case.mjs
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
