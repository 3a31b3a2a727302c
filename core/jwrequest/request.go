package jwrequest

import "time"

// Outcome tells a caller whether its request was run.
type Outcome string

// The outcomes of a request.
const (
	Served  Outcome = "served"  // the whole answer follows
	NotRun  Outcome = "notRun"  // the request certainly was not run
	Unknown Outcome = "unknown" // the request may have been run
)

// Request is one caller's request as nodes pass it on.
type Request struct {
	ID          string
	Workspace   string
	Entry       string
	Key         string // idempotency key or ticket, may be empty
	Region      string // home region of the workspace
	Bound       bool   // the data must not leave Region
	Deadline    time.Time
	ContentType string
	Accept      string
	Body        []byte
	Hops        Hops
}
