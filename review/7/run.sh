#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the deploy build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/review-2 || exit 2
exec target/review-2/review-2 former-life review/7
