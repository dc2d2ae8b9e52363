#!/bin/sh
# Shows the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
node --check review/12/case.mjs || exit 2
exec node review/12/case.mjs
