#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Writes record.txt beside itself. Needs the deploy build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
record=review/9/record.txt
program=target/review-2/review-2
: >"$record" || exit 2
if ! test -x "$program"; then
  echo "could not run: review/build-2.sh has not built $program" >"$record"
  exit 2
fi
exec "$program" same-id "$record"
