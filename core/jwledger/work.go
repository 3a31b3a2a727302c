package jwledger

import "time"

// Levels is the number of levels of urgency; lower priorities count as the last level.
const Levels = 3

// Level returns the level of a priority; 0 is the most urgent.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }

// Key identifies the requests of one workspace and level. Workspace is "" for callers without one.
type Key struct {
	Workspace string
	Level     int
}

// Sums are amounts of work. Offered to Useful are rates, in seconds of a target a second; Running and
// Waiting are the work in flight, in seconds of a target.
type Sums struct {
	Offered  float64 // of all requests that arrived
	Admitted float64 // of those that were not rejected for their share
	Lost     float64 // of those admitted that were rejected or refused for want of room, or came late
	Useful   float64 // of those served within their goal
	Running  float64 // of requests with a first event
	Waiting  float64 // of admitted requests without one
}

// columns is the number of fields of Sums, and namedColumns of those that are reported by key.
const (
	columns      = 6
	namedColumns = 4
)

// list returns the fields, those that are reported by key first.
func (s *Sums) list() [columns]*float64 {
	return [columns]*float64{&s.Offered, &s.Admitted, &s.Running, &s.Waiting, &s.Lost, &s.Useful}
}

// Add adds other to s.
func (s *Sums) Add(other Sums) {
	s.Offered += other.Offered
	s.Admitted += other.Admitted
	s.Lost += other.Lost
	s.Useful += other.Useful
	s.Running += other.Running
	s.Waiting += other.Waiting
}

// subtract takes off other, down to 0.
func (s *Sums) subtract(other Sums) {
	o := other.list()
	for i, v := range s.list() {
		*v = max(*v-*o[i], 0)
	}
}

// decay scales the rates.
func (s *Sums) decay(factor float64) {
	s.Offered *= factor
	s.Admitted *= factor
	s.Lost *= factor
	s.Useful *= factor
}

// Request is what a request is expected to take of a target.
type Request struct {
	ReadTime time.Duration // to read its prompt, during which other prompts wait
	SlotTime time.Duration // for which it occupies a slot, without ReadTime
	Memory   int           // tokens
}

// Target is what a target of a service has. A field of 0 is not known.
type Target struct {
	Slots  int
	Memory int // tokens
}

// Work returns the part of a target that the request takes, in seconds, by the resource that it takes
// most of.
func (r Request) Work(t Target) float64 {
	occupied := (r.ReadTime + r.SlotTime).Seconds()
	work := r.ReadTime.Seconds() + r.SlotTime.Seconds()/float64(max(t.Slots, 1))
	if t.Memory > 0 {
		work = max(work, occupied*float64(r.Memory)/float64(t.Memory))
	}
	return max(work, minWork)
}

// minWork is the least work of a request, in seconds: a request in flight must not count as none.
const minWork = 1e-6
