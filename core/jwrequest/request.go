package jwrequest

import "time"

// Outcome states whether a request was run.
type Outcome string

// These are the outcomes of a request.
const (
	Served  Outcome = "served"  // the complete answer follows
	NotRun  Outcome = "notRun"  // the request was certainly not run
	Unknown Outcome = "unknown" // the request may have run
)

// Request is one request of a caller, as nodes forward it to each other.
type Request struct {
	ID          string
	Workspace   string
	Entry       string // name of the catalogue entry
	Key         string // idempotency key or ticket, may be empty
	Region      string // home region of the workspace
	Bound       bool   // the data must not leave Region
	Deadline    time.Time
	ContentType string
	Accept      string
	Body        []byte
	Hops        Hops
}
