package jwentry

import (
	"time"

	"jujubewheel/core/jwworkspace"
)

// Kind tells what may be repeated of a request.
type Kind string

// The kinds of entries.
const (
	Idempotent    Kind = "idempotent"    // may run more than once
	NonIdempotent Kind = "nonIdempotent" // runs at most once
	Stream        Kind = "stream"        // answered by events; runs at most once unless it may be resumed
)

// Entry describes one kind of request.
type Entry struct {
	Name         string
	Host         string // without a port
	Prefix       string // of the URL path; begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // longest time a caller is kept waiting, 0 for none
	Goal         time.Duration // an answer within it is on time
	GapGoal      time.Duration // longest pause between events that is on time
	Priority     int           // 0 is the most urgent
	Destinations []Destination
	MaxAttempts  int                 // targets that one request may be sent to
	Resumable    bool                // a broken stream may go on at another target
	Public       bool                // callers need no key
	Homes        jwworkspace.Regions // that may serve it
}

// Destination is a service with its share of an entry's requests.
type Destination struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run a second time.
func (e *Entry) Repeatable() bool {
	return e.Kind == Idempotent || e.Kind == Stream && e.Resumable
}

// Attempts returns how many targets a request may be sent to, at least one.
func (e *Entry) Attempts() int { return max(e.MaxAttempts, 1) }

// Choose returns the service that a point of [0, 1) falls on, by weight.
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

// Service is a group of targets that run the same requests.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int           // connections a target takes from all nodes together
	Warmup     time.Duration // how long a target is cold after its start
	WarmupRate float64       // requests a second that a cold target takes from all nodes together
	Engine     *Engine       // nil for a plain service
}

// Engine describes the model engine of a service's targets.
type Engine struct {
	Slots    int // requests in one batch
	Capacity int // tokens of memory
	Stride   int // tokens of one event
}
