package jwentry

import (
	"time"

	"jujubewheel/core/jwworkspace"
)

// Kind says whether a request may run more than once and how it is answered.
type Kind string

// The kinds of entries.
const (
	Idempotent    Kind = "idempotent"    // may run more than once
	NonIdempotent Kind = "nonIdempotent" // runs at most once
	Stream        Kind = "stream"        // answered by a stream of events; runs at most once unless Entry.Resumable
)

// Entry configures the requests of one host and path prefix.
type Entry struct {
	Name         string
	Host         string // without a port
	Prefix       string // of the URL path; begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // maximum time that a caller waits, 0 for no limit
	Goal         time.Duration // target time for the answer
	GapGoal      time.Duration // target time for the longest pause between two events
	Priority     int           // 0 is the most urgent
	Destinations []Destination
	MaxAttempts  int                 // maximum number of targets that a request is sent to
	Resumable    bool                // an interrupted stream may continue at another target
	Public       bool                // callers need no key
	Homes        jwworkspace.Regions // regions that may serve the requests
}

// Destination is a service that runs a share of an entry's requests. Weight is relative
// to the sum of the weights of the entry's destinations.
type Destination struct {
	Service string
	Weight  float64
}

// Retryable reports whether a request may run more than once.
func (e *Entry) Retryable() bool {
	return e.Kind == Idempotent || e.Kind == Stream && e.Resumable
}

// Attempts returns how many targets a request may be sent to, at least one.
func (e *Entry) Attempts() int { return max(e.MaxAttempts, 1) }

// Choose returns the service selected by point, a number in [0, 1): each service gets a
// share of that interval in proportion to its weight. It returns "" without destinations.
func (e *Entry) Choose(point float64) string {
	total := 0.0
	for _, d := range e.Destinations {
		total += d.Weight
	}
	point *= total
	for _, d := range e.Destinations {
		if point -= d.Weight; point < 0 {
			return d.Service
		}
	}
	if n := len(e.Destinations); n > 0 {
		return e.Destinations[n-1].Service
	}
	return ""
}

// Service configures a group of targets that run the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int           // maximum number of connections to a target from all nodes together
	Warmup     time.Duration // how long a target is cold after its start
	WarmupRate float64       // requests per second that a cold target can take from all nodes together
	Engine     *Engine       // nil for a service without a model engine
}

// Engine describes the model engine that runs on a service's targets.
type Engine struct {
	Slots    int // maximum number of requests in a batch
	Capacity int // capacity of the key-value cache in tokens
	Stride   int // number of tokens in an event
}
