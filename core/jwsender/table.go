package jwsender

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// AskInterval is the time between two questions to a sender, and the age at which its streams are first asked about.
	AskInterval = 500 * time.Millisecond
	// MaxSilence is how long a sender may leave questions without an answer. Callers wait for two seconds or more
	// before they take up a stream without events, so a run ends before that.
	MaxSilence = 1500 * time.Millisecond
	// minFailures is the number of questions in a row that must have failed before a sender counts as silent:
	// if this node itself stood still, the time since the last answer says nothing.
	minFailures = 2
	// abandonedLife is how long a forward that was reported as abandoned before it came is remembered.
	abandonedLife = 5 * time.Second
)

// Reason is why a stream was ended.
type Reason string

// Reasons for ending a stream.
const (
	Unwanted Reason = "unwanted" // the sender no longer waits for it
	Silent   Reason = "silent"   // the sender doesn't answer
)

// Question asks a sender which of its streams it still wants.
type Question struct {
	Sender   string
	Forwards []string // the names of the streams
}

// Table holds the streams in progress by sender. The zero value is empty. Its methods are safe for
// concurrent use.
type Table struct {
	// OnFirst, if set, is called when the table is no longer empty. It must not block.
	OnFirst func()

	mu        sync.Mutex
	senders   map[string]*sender
	abandoned map[abandonedForward]time.Time // forwards that were reported before they came, and when
}

type abandonedForward struct{ sender, name string }

// sender is a node that has forwarded streams to this one.
type sender struct {
	streams  map[*stream]bool
	askedAt  time.Time // when it was last asked
	aliveAt  time.Time // when the last question that it answered was asked, or a call of it came
	failures int       // questions in a row without an answer
}

// stream is one that runs.
type stream struct {
	name    string // of the forward, as its sender knows it
	addedAt time.Time
	end     func(Reason)
}

// Add adds a stream that a sender has forwarded under a name. end is called at most once, to end it; if the sender
// has abandoned the stream already, it is called at once. The returned function removes the stream.
func (t *Table) Add(now time.Time, sender, name string, end func(Reason)) (remove func()) {
	remove, ok := t.add(now, sender, name, end)
	if !ok {
		end(Unwanted)
	}
	return remove
}

// add adds a stream. It returns false if its sender has abandoned it already.
func (t *Table) add(now time.Time, name, forward string, end func(Reason)) (remove func(), ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.abandoned[abandonedForward{name, forward}]; ok && now.Sub(at) < abandonedLife {
		return func() {}, false
	}
	if t.senders == nil {
		t.senders = make(map[string]*sender)
	}
	if len(t.senders) == 0 && t.OnFirst != nil {
		t.OnFirst()
	}
	s := t.senders[name]
	if s == nil {
		s = &sender{streams: make(map[*stream]bool)}
		t.senders[name] = s
	}
	x := &stream{forward, now, end}
	s.streams[x] = true
	return func() { t.remove(name, x) }, true
}

func (t *Table) remove(name string, x *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[name]
	if s == nil {
		return
	}
	if delete(s.streams, x); len(s.streams) == 0 {
		delete(t.senders, name)
	}
}

// Empty reports whether there are no streams.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.senders) == 0
}

// Due returns the questions to be asked now, sorted by sender, and records that they are. Streams younger than
// AskInterval are not asked about.
func (t *Table) Due(now time.Time) []Question {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Question
	for name, s := range t.senders {
		if now.Sub(s.askedAt) < AskInterval {
			continue
		}
		q := Question{Sender: name}
		for x := range s.streams {
			if now.Sub(x.addedAt) >= AskInterval {
				q.Forwards = append(q.Forwards, x.name)
			}
		}
		if len(q.Forwards) > 0 {
			s.askedAt = now
			slices.Sort(q.Forwards)
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b Question) int { return strings.Compare(a.Sender, b.Sender) })
	return list
}

// Answered records a sender's answer to the question asked at askedAt, and ends the streams that it doesn't want.
// It returns the number of streams ended.
func (t *Table) Answered(askedAt time.Time, name string, unwanted []string) int {
	return t.end(name, Unwanted, func(_ *sender, x *stream) bool {
		// One that was forwarded after the question may have the name of one that had ended.
		return x.addedAt.Before(askedAt) && slices.Contains(unwanted, x.name)
	}, func(s *sender) {
		s.failures = 0
		s.aliveAt = later(s.aliveAt, askedAt)
	})
}

// Alive records that a call of a node came, which shows that it lives where it is too busy to answer questions.
func (t *Table) Alive(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.senders[name]; s != nil {
		s.aliveAt = later(s.aliveAt, now)
	}
}

// Abandon ends streams that their sender reports as abandoned, and returns their number. One that is added later
// is ended then.
func (t *Table) Abandon(now time.Time, name string, forwards []string) int {
	t.rememberAbandoned(now, name, forwards)
	return t.end(name, Unwanted, func(_ *sender, x *stream) bool {
		return slices.Contains(forwards, x.name)
	}, func(*sender) {})
}

func (t *Table) rememberAbandoned(now time.Time, name string, forwards []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.abandoned == nil {
		t.abandoned = make(map[abandonedForward]time.Time)
	}
	maps.DeleteFunc(t.abandoned, func(_ abandonedForward, at time.Time) bool { return now.Sub(at) >= abandonedLife })
	for _, f := range forwards {
		t.abandoned[abandonedForward{name, f}] = now
	}
}

// Failed records that a question was not answered, and ends the sender's streams if it has been silent for
// MaxSilence. It returns the number of streams ended. The question may still be answered.
func (t *Table) Failed(now time.Time, name string) int {
	return t.end(name, Silent, func(s *sender, x *stream) bool {
		return s.failures >= minFailures && now.Sub(later(s.aliveAt, x.addedAt)) >= MaxSilence
	}, func(s *sender) { s.failures++ })
}

// end updates a sender and ends those of its streams that ends selects then.
func (t *Table) end(name string, reason Reason, ends func(*sender, *stream) bool, update func(*sender)) int {
	list := t.takeEnded(name, ends, update)
	for _, x := range list {
		x.end(reason)
	}
	return len(list)
}

func (t *Table) takeEnded(name string, ends func(*sender, *stream) bool, update func(*sender)) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[name]
	if s == nil {
		return nil
	}
	update(s)
	var list []*stream
	for x := range s.streams {
		if ends(s, x) {
			list = append(list, x)
			delete(s.streams, x)
		}
	}
	if len(s.streams) == 0 {
		delete(t.senders, name)
	}
	return list
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
