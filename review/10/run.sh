#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
PROGRAM=review-standin exec "$(dirname "$0")/../standin-2/run.sh" cancel review/10
