package jwbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one policy did in one scenario, over all seeds.
type Result struct {
	Offered int // requests of callers
	InTime  int // whole answers before their deadline
	Late    int // given up by the caller while waiting or running
	NotRun  int // refused to the end
	Away    int // served in another region
	Back    int // sent away and given back
	Told    int // tries of callers who came back when they were told to
	Taken   int // of those, taken on
	Crashes int // runners that a poison request took down

	Broken int // answers for bound data from another region: always 0

	Cost   float64 // busy runner-seconds and the price of links
	First  *hdrhistogram.Histogram
	Drafts *hdrhistogram.Histogram // whole answers; what was given up counts with its deadline
	Quick  *hdrhistogram.Histogram // whole answers of questions, status checks and confirmations

	owners map[string]*ownerCount
	price  float64
}

// ownerCount tells how much of what an owner asked came in time.
type ownerCount struct{ offered, inTime int }

// Range of the histograms, in microseconds.
const (
	shortest = 1
	longest  = 120_000_000
	digits   = 3
)

func newResult() *Result {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(shortest, longest, digits) }
	return &Result{First: h(), Drafts: h(), Quick: h(), owners: make(map[string]*ownerCount)}
}

func (r *Result) owner(q *request) *ownerCount {
	o := r.owners[q.owner]
	if o == nil {
		o = &ownerCount{}
		r.owners[q.owner] = o
	}
	return o
}

// skip leaves out the warm-up and the callers who do the harm, so that the
// figures are those of the others.
func (r *Result) skip(q *request) bool { return !q.counted || q.poison || q.owner == burster }

// cameBack counts a try that came when it was told to.
func (r *Result) cameBack(q *request, taken bool) {
	if r.skip(q) || q.tries < 2 {
		return
	}
	r.Told++
	if taken {
		r.Taken++
	}
}

func (r *Result) offered(q *request) {
	if r.skip(q) {
		return
	}
	r.Offered++
	r.owner(q).offered++
}

func (r *Result) served(q *request, at time.Time) {
	if q.away {
		r.Cost += r.price
	}
	if r.skip(q) {
		return
	}
	r.InTime++
	r.owner(q).inTime++
	if q.away {
		r.Away++
	}
	r.record(q, at.Sub(q.sent))
	if q.prefill > 0 {
		_ = r.First.RecordValue(q.first.Sub(q.sent).Microseconds())
	}
}

func (r *Result) late(q *request) {
	if r.skip(q) {
		return
	}
	r.Late++
	r.record(q, q.entry.Deadline)
	if q.prefill > 0 && q.first.IsZero() {
		_ = r.First.RecordValue(q.entry.Deadline.Microseconds())
	}
}

func (r *Result) refused(q *request) {
	if !r.skip(q) {
		r.NotRun++
	}
}

func (r *Result) sentBack(q *request) {
	if !r.skip(q) {
		r.Back++
	}
}

func (r *Result) record(q *request, took time.Duration) {
	h := r.Quick
	if q.entry.Name == "draft" {
		h = r.Drafts
	}
	_ = h.RecordValue(took.Microseconds())
}

// add joins the result of another seed.
func (r *Result) add(other *Result) {
	r.Offered += other.Offered
	r.InTime += other.InTime
	r.Late += other.Late
	r.NotRun += other.NotRun
	r.Away += other.Away
	r.Back += other.Back
	r.Broken += other.Broken
	r.Told += other.Told
	r.Taken += other.Taken
	r.Crashes += other.Crashes
	r.Cost += other.Cost
	r.First.Merge(other.First)
	r.Drafts.Merge(other.Drafts)
	r.Quick.Merge(other.Quick)
	for name, o := range other.owners {
		mine := r.owners[name]
		if mine == nil {
			mine = &ownerCount{}
			r.owners[name] = mine
		}
		mine.offered += o.offered
		mine.inTime += o.inTime
	}
}

// Fairness is Jain's index over the shares that owners got of what they asked:
// 1 when all got the same share.
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

// CostEach is the cost of one answer in time, in runner-seconds.
func (r *Result) CostEach() float64 {
	return r.Cost / float64(max(r.InTime, 1))
}

// share returns a count as a percentage of what was offered.
func (r *Result) share(n int) float64 {
	return 100 * float64(n) / float64(max(r.Offered, 1))
}
