#!/bin/sh
# Checks the model of the shares of a cold target, and that the seeded faults are caught.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../verify.sh" "$here/cold.pml" JOIN_AT_ONCE NO_WAIT NOT_LISTED WRITE_LATE
