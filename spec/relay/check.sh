#!/bin/sh
# Checks the model of a store that is read through a relay, and that the seeded faults are caught.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../verify.sh" "$here/relay.pml" NO_AGE NO_HEARD ANY_REVISION
