#!/bin/sh
# Checks the model of the claim protocol, and that the seeded faults are caught.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../verify.sh" "$here/claim.pml" TRUST_UNKNOWN LATE_RELEASE
