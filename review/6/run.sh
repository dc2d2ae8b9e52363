#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec node case.mjs
