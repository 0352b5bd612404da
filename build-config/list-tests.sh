#!/usr/bin/env bash
# Lists the tests and rows of the last run, with their counts, and totals the time of each class, from surefire's reports: list-tests.sh [--times] [folder of the clone]
set -euo pipefail
times=
if [ "${1:-}" = --times ]; then
  times=1
  shift
fi
cd "${1:-$(dirname "$0")/..}"
cases() {
  local module
  for module in */; do
    if compgen -G "${module}target/surefire-reports/TEST-*.xml" > /dev/null; then
      # The index of an invocation and the identities of objects differ between runs.
      sed -nE 's/.*<testcase name="([^"]*)" classname="([^"]*)" time="([^"]*)".*/\3\t'"${module%/}"'\t\2\t\1/p' \
        "${module}"target/surefire-reports/TEST-*.xml | sed -E 's/\([0-9]+\)$//; s/@[0-9a-f]+//g; s/Lambda\$[^],]*/Lambda/g'
    fi
  done
}
if [ -n "$times" ]; then
  cases | tr -d , | awk -F '\t' '{ s[$2 " " $3] += $1; n[$2 " " $3]++ } END { for (k in s) printf "%9.1f s %5d %s\n", s[k], n[k], k }' | sort -rn
else
  cases | cut -f 2- | sort | uniq -c
fi
