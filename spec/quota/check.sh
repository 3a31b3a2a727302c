#!/bin/sh
# Checks the model of quota units that go up and down, and that the seeded faults are caught.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../verify.sh" "$here/quota.pml" GIVES_LATE REPEATS KEEPS_GRANT
