#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption that claim.txt names.
cd "$(dirname "$0")/../.." || exit 2
trouble=${TROUBLE:-1}
test -x target/apps/shallotlug -a -x target/review-2/script-10 || exit 2
timeout 120 target/review-2/script-10 review/10/record.txt "$trouble"
status=$?
test "$status" -le 1 || status=2
exit "$status"
