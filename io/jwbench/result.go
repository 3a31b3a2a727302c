package jwbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result counts what one policy did in one scenario, over all seeds.
type Result struct {
	Offered         int // requests that callers sent
	InTime          int // requests whose complete answer came before the deadline
	Late            int // requests whose deadline passed while they waited or ran
	NotRun          int // requests that were rejected at their last try
	Away            int // requests served in another region
	Returned        int // requests forwarded to another region and returned by it
	Retries         int // tries that callers made after a rejection or a failure
	RetriesAdmitted int // retries that were admitted
	Crashes         int // crashes of runners that a poison request caused

	BoundViolations int // answers for bound data from another region; must be 0

	Cost float64 // busy runner-seconds and the price of links, in runner-seconds

	// Histograms in microseconds. A request whose deadline passed counts with
	// its full deadline.
	FirstTokenTimes *hdrhistogram.Histogram
	DraftTimes      *hdrhistogram.Histogram // complete answers of drafts
	ShortTimes      *hdrhistogram.Histogram // complete answers of questions, status checks and confirmations

	owners    map[string]*ownerCount
	linkPrice float64
}

// ownerCount counts the requests of an owner and those answered in time.
type ownerCount struct{ offered, inTime int }

// Range in microseconds and precision of the histograms.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

func newResult() *Result {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &Result{FirstTokenTimes: h(), DraftTimes: h(), ShortTimes: h(), owners: make(map[string]*ownerCount)}
}

func (r *Result) ownerCountOf(q *request) *ownerCount {
	o := r.owners[q.owner]
	if o == nil {
		o = &ownerCount{}
		r.owners[q.owner] = o
	}
	return o
}

// skip reports whether a request is left out of the figures: those of the
// warm-up, poison requests and those of burstOwner. The figures are then those
// of the callers who suffer from the fault.
func (r *Result) skip(q *request) bool { return !q.counted || q.poison || q.owner == burstOwner }

// retried counts a retry, and whether it was admitted.
func (r *Result) retried(q *request, admitted bool) {
	if r.skip(q) || q.tries < 2 {
		return
	}
	r.Retries++
	if admitted {
		r.RetriesAdmitted++
	}
}

func (r *Result) offered(q *request) {
	if r.skip(q) {
		return
	}
	r.Offered++
	r.ownerCountOf(q).offered++
}

func (r *Result) served(q *request, at time.Time) {
	if q.away {
		r.Cost += r.linkPrice
	}
	if r.skip(q) {
		return
	}
	r.InTime++
	r.ownerCountOf(q).inTime++
	if q.away {
		r.Away++
	}
	r.record(q, at.Sub(q.sentAt))
	if q.prefill > 0 {
		_ = r.FirstTokenTimes.RecordValue(q.firstTokenAt.Sub(q.sentAt).Microseconds())
	}
}

func (r *Result) late(q *request) {
	if r.skip(q) {
		return
	}
	r.Late++
	r.record(q, q.entry.Deadline)
	if q.prefill > 0 && q.firstTokenAt.IsZero() {
		_ = r.FirstTokenTimes.RecordValue(q.entry.Deadline.Microseconds())
	}
}

func (r *Result) refused(q *request) {
	if !r.skip(q) {
		r.NotRun++
	}
}

func (r *Result) returned(q *request) {
	if !r.skip(q) {
		r.Returned++
	}
}

func (r *Result) record(q *request, took time.Duration) {
	h := r.ShortTimes
	if q.entry.Name == "draft" {
		h = r.DraftTimes
	}
	_ = h.RecordValue(took.Microseconds())
}

// add adds the result of another seed.
func (r *Result) add(other *Result) {
	r.Offered += other.Offered
	r.InTime += other.InTime
	r.Late += other.Late
	r.NotRun += other.NotRun
	r.Away += other.Away
	r.Returned += other.Returned
	r.BoundViolations += other.BoundViolations
	r.Retries += other.Retries
	r.RetriesAdmitted += other.RetriesAdmitted
	r.Crashes += other.Crashes
	r.Cost += other.Cost
	r.FirstTokenTimes.Merge(other.FirstTokenTimes)
	r.DraftTimes.Merge(other.DraftTimes)
	r.ShortTimes.Merge(other.ShortTimes)
	for name, o := range other.owners {
		total := r.owners[name]
		if total == nil {
			total = &ownerCount{}
			r.owners[name] = total
		}
		total.offered += o.offered
		total.inTime += o.inTime
	}
}

// Fairness returns Jain's fairness index over the owners' shares of requests
// answered in time: 1 if all owners have the same share, 0 without answers.
func (r *Result) Fairness() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for _, o := range r.owners {
		if o.offered == 0 {
			continue
		}
		x := float64(o.inTime) / float64(o.offered)
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// CostPerAnswer returns the cost of each answer in time, in runner-seconds.
func (r *Result) CostPerAnswer() float64 {
	return r.Cost / float64(max(r.InTime, 1))
}

// percent returns a count as a percentage of the requests offered.
func (r *Result) percent(n int) float64 {
	return 100 * float64(n) / float64(max(r.Offered, 1))
}
