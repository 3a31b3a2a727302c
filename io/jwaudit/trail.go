package jwaudit

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Kind is what a record is about.
type Kind string

// The kinds of records.
const (
	NodeState      Kind = "nodeState"      // this node started, serves, drains, ended
	PeerState      Kind = "peerState"      // another node joined, left or was declared gone
	TargetState    Kind = "targetState"    // a target appeared, leaves, failed or recovered
	RegionState    Kind = "regionState"    // a region was lost or is reachable again
	PlatformState  Kind = "platformState"  // a platform service failed or answers again
	Edit           Kind = "edit"           // an operator's catalogue edit on this node
	Applied        Kind = "applied"        // a catalogue change came into force here
	Accepted       Kind = "accepted"       // a revision is in force everywhere
	Forgotten      Kind = "forgotten"      // a node was removed from those that must confirm changes
	Suspect        Kind = "suspect"        // a request was quarantined or released
	Handover       Kind = "handover"       // tickets and answers were handed or taken over
	CertificateSet Kind = "certificateSet" // a certificate was loaded or rejected
)

// Record is one change in the audit trail.
type Record struct {
	Sequence uint64    `json:"sequence"` // 1 for the first of this process
	Time     time.Time `json:"time"`
	Node     string    `json:"node"` // the node that recorded it
	Kind     Kind      `json:"kind"`
	Subject  string    `json:"subject"` // whose state changed
	From     string    `json:"from,omitempty"`
	To       string    `json:"to,omitempty"`
	Revision uint64    `json:"revision,omitempty"` // for catalogue changes
	Author   string    `json:"author,omitempty"`   // for edits
	Detail   string    `json:"detail,omitempty"`   // the reason, as text for operators
}

// DefaultSize is how many records a Trail keeps where Size is 0.
const DefaultSize = 4096

// Trail holds the latest records. The zero value is ready to use; a nil Trail
// drops all records.
type Trail struct {
	Node string
	Size int
	Log  logr.Logger
	Now  func() time.Time // time.Now if nil

	mu    sync.Mutex
	ring  []Record
	added uint64 // number of records added so far
}

// Add sets the Sequence, Time and Node of a record, keeps and logs it. A full
// trail drops its oldest record.
func (t *Trail) Add(r Record) {
	if t == nil {
		return
	}
	r = t.keep(r)
	t.Log.Info(string(r.Kind), r.pairs()...)
}

// pairs returns the record as keys and values of a log line.
func (r Record) pairs() []any {
	pairs := []any{"sequence", r.Sequence, "subject", r.Subject}
	for _, p := range []struct{ key, value string }{
		{"from", r.From}, {"to", r.To}, {"author", r.Author}, {"detail", r.Detail},
	} {
		if p.value != "" {
			pairs = append(pairs, p.key, p.value)
		}
	}
	if r.Revision > 0 {
		pairs = append(pairs, "revision", r.Revision)
	}
	return pairs
}

func (t *Trail) keep(r Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ring == nil {
		t.ring = make([]Record, t.size())
	}
	now := t.Now
	if now == nil {
		now = time.Now
	}
	r.Time = now().UTC()
	r.Node = t.Node
	r.Sequence = t.added + 1
	t.ring[t.added%uint64(len(t.ring))] = r
	t.added++
	return r
}

func (t *Trail) size() int {
	if t.Size > 0 {
		return t.Size
	}
	return DefaultSize
}

// After returns at most limit records with a Sequence above after, oldest first. A
// gap between after and the first one's Sequence means that records were
// dropped.
func (t *Trail) After(after uint64, limit int) []Record {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest := uint64(0)
	if size := uint64(len(t.ring)); t.added > size {
		oldest = t.added - size
	}
	var out []Record
	for i := max(after, oldest); i < t.added && len(out) < limit; i++ {
		out = append(out, t.ring[i%uint64(len(t.ring))])
	}
	return out
}
