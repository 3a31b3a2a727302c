package jwload

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jujubewheel/core/jwrequest"
)

const (
	// maxLatencyMicros is the maximum latency of a histogram, in microseconds;
	// longer ones count as this.
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // precision of a histogram
)

// Way is how a request reached its target.
type Way string

// The ways of a request.
const (
	ByNode Way = "node"   // through a node
	Direct Way = "direct" // sent to the target itself
)

// requestResult is the result of one request after its last try.
type requestResult struct {
	arrival Arrival
	answer  answer
	end     time.Time
	retries int
}

// group identifies the requests that one line of a report counts.
type group struct {
	way   Way
	owner string
	entry string // empty for all entries of the owner
}

// groupStats holds the counts and latencies of one group.
type groupStats struct {
	line Line
	// Time to the first token, between tokens, and to the complete answer, in
	// microseconds.
	firstToken, betweenTokens, completeAnswer *hdrhistogram.Histogram
}

// results collects the results of requests. The zero value is ready to use.
type results struct {
	mu     sync.Mutex
	groups map[group]*groupStats
}

// add counts a request for its entry and for its owner.
func (rs *results) add(o requestResult, due time.Time) {
	way := ByNode
	if o.arrival.Direct {
		way = Direct
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, entry := range []string{o.arrival.Kind.Entry, ""} {
		rs.statsOf(group{way: way, owner: o.arrival.Kind.Owner, entry: entry}).add(o, due)
	}
}

// statsOf returns the statistics of a group and creates them if needed. The
// caller holds rs.mu.
func (rs *results) statsOf(g group) *groupStats {
	if rs.groups == nil {
		rs.groups = make(map[group]*groupStats)
	}
	t, found := rs.groups[g]
	if !found {
		t = &groupStats{
			line:           Line{Way: g.way, Owner: g.owner, Entry: g.entry},
			firstToken:     hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			betweenTokens:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			completeAnswer: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
		rs.groups[g] = t
	}
	return t
}

// add counts a request. Latencies are recorded only for correct answers.
func (t *groupStats) add(o requestResult, due time.Time) {
	t.line.Sent++
	t.line.Retries += int64(o.retries)
	switch o.answer.outcome {
	case jwrequest.NotRun:
		t.line.NotRun++
		return
	case jwrequest.Served:
		t.line.Served++
		if region := o.answer.region; region != "" && region != o.arrival.Region {
			t.line.Away++
		}
	default:
		t.line.Unknown++
		return
	}
	if !o.answer.correct {
		t.line.Wrong++
		return
	}
	kind := o.arrival.Kind
	total, first := o.end.Sub(due), o.answer.firstAt.Sub(due)
	record(t.completeAnswer, total)
	if kind.Stream {
		record(t.firstToken, first)
	}
	for _, gap := range o.answer.gaps {
		record(t.betweenTokens, gap)
	}
	late := total > time.Duration(kind.Deadline)
	late = late || kind.Stream && kind.FirstToken > 0 && first > time.Duration(kind.FirstToken)
	if !late {
		t.line.InTime++
	}
}

// record adds a latency to a histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxLatencyMicros)
	_ = h.RecordValue(us) // never fails, since us is within the bounds of the histogram
}

// Line counts the requests of one entry, or of all entries of an owner.
type Line struct {
	Way        Way         `json:"way"`
	Owner      string      `json:"owner"`
	Entry      string      `json:"entry,omitempty"` // empty for all entries of the owner
	Sent       int64       `json:"sent"`            // requests, without retries
	Served     int64       `json:"served"`
	InTime     int64       `json:"inTime"`        // correct, complete and within the deadlines
	NotRun     int64       `json:"notRun"`        // rejected, or never sent
	Unknown    int64       `json:"unknown"`       // may have run
	Wrong      int64       `json:"wrong"`         // served, but with another answer than the expected one
	Retries    int64       `json:"retries"`       // further tries by callers
	Away       int64       `json:"away"`          // served in another region than the home of the workspace
	Goodput    float64     `json:"goodput"`       // InTime per second
	FirstToken Percentiles `json:"firstToken"`    // times to the first token
	Between    Percentiles `json:"betweenTokens"` // times between tokens
	Whole      Percentiles `json:"whole"`         // times to the complete answer
}

// Percentiles are latencies in milliseconds. All but times between tokens are
// measured from the intended send time.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Report holds the results of a load.
type Report struct {
	Seconds  float64 `json:"seconds"`         // length of the reported part
	MostOpen int64   `json:"mostOpen"`        // maximum number of requests in flight
	Lines    []Line  `json:"lines"`           // sorted by owner and entry
	Audit    *Audit  `json:"audit,omitempty"` // nil if no journal was read
}

func (rs *results) report(d time.Duration, maxInFlight int64) Report {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := Report{Seconds: d.Seconds(), MostOpen: maxInFlight, Lines: []Line{}}
	for _, t := range rs.groups {
		line := t.line
		line.Goodput = float64(line.InTime) / d.Seconds()
		line.FirstToken = percentiles(t.firstToken)
		line.Between = percentiles(t.betweenTokens)
		line.Whole = percentiles(t.completeAnswer)
		r.Lines = append(r.Lines, line)
	}
	slices.SortFunc(r.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Entry, b.Entry), cmp.Compare(b.Way, a.Way))
	})
	return r
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / 1000,
	}
}

// WriteTable writes the report as text tables, with latencies in milliseconds.
func (r Report) WriteTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%.0f s, at most %d requests open at once\n", r.Seconds, r.MostOpen); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "owner\tentry\tway\tsent\tserved\tin time\tnot run\tunknown\twrong\tretries\tgoodput/s\t")
	for _, l := range r.Lines {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t\n", l.Owner, l.name(), l.Way,
			l.Sent, l.Served, l.InTime, l.NotRun, l.Unknown, l.Wrong, l.Retries, l.Goodput)
	}
	fmt.Fprintln(tw, "\t\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(tw, "owner\tentry\tway\tms of\tcount\tp50\tp95\tp99\tp99.9\tmax\t\t")
	for _, l := range r.Lines {
		writeLatency(tw, l, "first token", l.FirstToken)
		writeLatency(tw, l, "between tokens", l.Between)
		writeLatency(tw, l, "whole answer", l.Whole)
	}
	if err := tw.Flush(); err != nil || r.Audit == nil {
		return err
	}
	_, err := fmt.Fprintf(w, "audit of %d runs: %d keys run twice, %d run though not run, %d served but not run, %d bound run abroad\n",
		r.Audit.Runs, r.Audit.RanTwice, r.Audit.FalseNotRun, r.Audit.FalseServed, r.Audit.OutsideRegion)
	return err
}

// writeLatency writes one row of latencies, if there are any.
func writeLatency(w io.Writer, l Line, measure string, p Percentiles) {
	if p.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\t\n", l.Owner, l.name(), l.Way, measure,
		p.Count, p.P50, p.P95, p.P99, p.P999, p.Max)
}

// name returns the name of the line in a table.
func (l Line) name() string {
	if l.Entry == "" {
		return "(all)"
	}
	return l.Entry
}
