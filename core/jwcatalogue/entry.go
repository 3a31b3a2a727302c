package jwcatalogue

import "time"

// Class ranks entries by how soon their callers need an answer.
type Class string

// The classes, most urgent first.
const (
	Confirmation Class = "confirmation" // deposits, payments, orders
	Lookup       Class = "lookup"       // status checks, quick questions
	Draft        Class = "draft"        // long generated answers
)

// Entry describes one kind of request.
type Entry struct {
	Name        string
	Owner       string
	Class       Class
	Service     string        // name of the platform's service that runs it
	Path        string        // URL path at the target
	Idempotent  bool          // may run again after a failure
	Bound       bool          // its data must not leave the home region
	Deadline    time.Duration // maximum time to the complete answer
	FirstToken  time.Duration // maximum wait for the first byte of a stream, 0 for none
	Progress    time.Duration // maximum silence of a running call before it is given up, 0 for none
	Limits      Limits
	Weights     Weights
	Regions     []string      // regions it may be sent to; empty means home only, "*" any
	KeyMemory   time.Duration // how long an idempotency key is remembered
	MaxBodySize int64         // bytes
}

// Limits restrict the requests for an entry in one region.
type Limits struct {
	Rate       float64 `json:"rate"`       // requests a second, 0 for no limit
	Burst      int     `json:"burst"`      // requests at once above the rate
	Concurrent int     `json:"concurrent"` // requests running, 0 for no limit
}

// Weights say what a unit of cost, a second of waiting and a share of requests
// sent away are worth against each other when a place for a request is chosen.
// All are non-negative.
type Weights struct {
	Cost     float64 `json:"cost"`     // of a unit of cost
	Wait     float64 `json:"tail"`     // of a second of waiting
	SentAway float64 `json:"sentAway"` // of sending a request to another region
}
