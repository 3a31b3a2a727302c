#!/bin/sh
# Checks the model of a store that comes back from an older copy, and that the seeded faults are caught.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../verify.sh" "$here/era.pml" NO_ERA ANY_ANSWER NO_HOLD
