#!/usr/bin/env bash
# Runs the script of a case. Usage: run-case.sh CASE, a number of a folder under review/.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
# the same without the disruption. RECORD_FOLDER takes record.txt in place of the folder of the case.
set -uo pipefail
cd "$(dirname "$0")/../.."
case=$1
program=target/review-3/case-$case
if [ ! -x "$program" ] || [ ! -x target/apps/shallotlug ] || [ ! -x target/apps/shallotlug-agent ]; then
  echo "build with the deploy file's command and review/build-3.sh first"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 118 "$program" "${RECORD_FOLDER:-review/$case}" "$folder"
result=$?
if [ -n "${KEEP_LOGS:-}" ]; then
  cp -r "$folder" "$KEEP_LOGS"
fi
[ "$result" -le 2 ] || result=2
case $result in
  0) echo "case $case: the rule held" ;;
  1) echo "case $case: the rule was broken" ;;
  *) echo "case $case: could not run" ;;
esac
exit "$result"
