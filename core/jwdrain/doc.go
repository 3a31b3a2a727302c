// Package jwdrain carries out the planned stop of a node: it stops admitting
// calls, waits for the calls in flight, writes outstanding claims to the store,
// hands tickets and stored answers over to a successor, and only then lets the
// process end.
package jwdrain
