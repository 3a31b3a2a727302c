package jwbench

import (
	"slices"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwtarget"
)

// runner simulates a model engine: it batches continuously, starts the more
// urgent class first, gets slower as its batch fills, and caches the prompt
// prefixes used last. All calls of a batch advance at the same rate, so the
// runner has one work clock and each call ends when that clock reaches the
// call's end mark.
type runner struct {
	loop          *loop
	target        jwtarget.Target
	slots         int
	speed         float64 // factor on the usual speed, 1 by default
	hidesSlowness bool    // load reports give the time between tokens at speed 1
	down          bool    // the runner refuses connections

	running        []*job
	waiting        [len(classes)][]*job
	cachedPrefixes []uint64  // least recently used first
	maxPrefixes    int       // size of the prefix cache
	workClock      float64   // seconds of work that a call running since the start has had
	advancedAt     time.Time // when workClock was last updated
	generation     int       // incremented whenever the batch changes, so that outdated events are ignored
	busySeconds    float64   // runner-seconds used so far, weighted by the share of slots in use
}

// classes are in the order of their priority, the most urgent first.
var classes = [...]jwcatalogue.Class{jwcatalogue.Confirmation, jwcatalogue.Lookup, jwcatalogue.Draft}

// Speed of the simulated engine.
const (
	fullBatchSlowdown  = 0.5                   // a call takes this share longer in a full batch
	cachedPrefillShare = 0.1                   // share of the prefill that is left if the prefix is cached
	baseTokenTime      = 20 * time.Millisecond // time between tokens of a call that is alone in the batch
)

// endReason is how a job ended.
type endReason string

const (
	endDone    endReason = "done"
	endCrash   endReason = "crash"
	endRefused endReason = "refused" // the runner was down and refused the connection
	endGivenUp endReason = "givenUp" // the caller left at its deadline
)

// job is one call on a runner.
type job struct {
	req            *request
	firstTokenMark float64 // workClock at which the first token is sent
	endMark        float64 // workClock at which the call ends
	firstTokenSent bool
	started        bool // the runner has put the call into its batch
	gone           bool // the call has ended, was cancelled or was refused
	onFirstToken   func()
	onEnd          func(endReason)
}

// submit queues a job; a runner that is down refuses it.
func (r *runner) submit(j *job) {
	if r.down {
		j.gone = true
		j.onEnd(endRefused)
		return
	}
	i := slices.Index(classes[:], j.req.entry.Class)
	r.waiting[i] = append(r.waiting[i], j)
	r.step()
}

// cancel removes a job from the batch or the queue without calling onEnd.
func (r *runner) cancel(j *job) {
	if j.gone {
		return
	}
	r.advance()
	j.gone = true
	same := func(other *job) bool { return other == j }
	r.running = slices.DeleteFunc(r.running, same)
	for i := range r.waiting {
		r.waiting[i] = slices.DeleteFunc(r.waiting[i], same)
	}
	r.step()
}

// crash takes the runner down, ends all its jobs and empties its cache.
func (r *runner) crash() {
	r.advance()
	r.down = true
	r.generation++
	lost := r.running
	r.running = nil
	for i := range r.waiting {
		lost = append(lost, r.waiting[i]...)
		r.waiting[i] = nil
	}
	r.cachedPrefixes = nil
	for _, j := range lost {
		j.gone = true
	}
	for _, j := range lost {
		j.onEnd(endCrash)
	}
}

// restart makes a crashed runner accept jobs again; its cache is empty.
func (r *runner) restart() {
	r.advance()
	r.down = false
}

// rate returns how many seconds the work clock advances in a second.
func (r *runner) rate() float64 {
	fill := float64(len(r.running)) / float64(r.slots)
	return r.speed / (1 + fullBatchSlowdown*fill)
}

// advance moves the work clock forward to the current virtual time.
func (r *runner) advance() {
	passed := r.loop.now.Sub(r.advancedAt).Seconds()
	r.advancedAt = r.loop.now
	r.workClock += passed * r.rate()
	r.busySeconds += passed * float64(len(r.running)) / float64(r.slots)
}

// clockTolerance allows for rounding errors when a mark is compared with the
// work clock, in seconds.
const clockTolerance = 1e-6

// step ends the jobs whose mark is reached, starts waiting jobs in the free
// slots and schedules the next step. A poison request that was started crashes
// the runner.
func (r *runner) step() {
	r.advance()
	var ended []*job
	for _, j := range r.running {
		if !j.firstTokenSent && j.firstTokenMark <= r.workClock+clockTolerance {
			j.firstTokenSent = true
			j.onFirstToken()
		}
		if j.endMark <= r.workClock+clockTolerance {
			j.gone = true
			ended = append(ended, j)
		}
	}
	r.running = slices.DeleteFunc(r.running, func(j *job) bool { return j.gone })
	poison := r.startWaiting()
	r.schedule()
	for _, j := range ended {
		j.onEnd(endDone)
	}
	if poison && !r.down {
		r.crash()
	}
}

// startWaiting moves waiting jobs into the free slots and reports whether one of
// them crashes the runner.
func (r *runner) startWaiting() (poison bool) {
	for i := range r.waiting {
		for len(r.waiting[i]) > 0 && len(r.running) < r.slots {
			j := r.waiting[i][0]
			r.waiting[i] = r.waiting[i][1:]
			j.started = true
			j.firstTokenMark = r.workClock + r.prefill(j.req)
			j.endMark = j.firstTokenMark + j.req.decode.Seconds()
			r.running = append(r.running, j)
			poison = poison || j.req.poison
		}
	}
	return poison
}

// prefill returns the work up to the first token, in seconds, and puts the
// prefix into the cache.
func (r *runner) prefill(q *request) float64 {
	work := q.prefill.Seconds()
	if q.prefix == 0 {
		return work
	}
	i := slices.Index(r.cachedPrefixes, q.prefix)
	if i >= 0 {
		work *= cachedPrefillShare
		r.cachedPrefixes = slices.Delete(r.cachedPrefixes, i, i+1)
	}
	r.cachedPrefixes = append(r.cachedPrefixes, q.prefix)
	if len(r.cachedPrefixes) > r.maxPrefixes {
		r.cachedPrefixes = r.cachedPrefixes[1:]
	}
	return work
}

// schedule runs step at the next mark unless the batch changes before.
func (r *runner) schedule() {
	r.generation++
	if len(r.running) == 0 {
		return
	}
	next := r.running[0].endMark
	for _, j := range r.running {
		next = min(next, j.endMark)
		if !j.firstTokenSent {
			next = min(next, j.firstTokenMark)
		}
	}
	generation := r.generation
	wait := time.Duration((next - r.workClock) / r.rate() * float64(time.Second))
	r.loop.after(wait+time.Microsecond, func() {
		if r.generation == generation {
			r.step()
		}
	})
}

// load returns the load report of the runner.
func (r *runner) load() jwtarget.Load {
	waiting := 0
	for i := range r.waiting {
		waiting += len(r.waiting[i])
	}
	token := time.Duration(float64(baseTokenTime) / r.rate())
	if r.hidesSlowness {
		token = time.Duration(float64(baseTokenTime) / r.rate() * r.speed)
	}
	return jwtarget.Load{Running: len(r.running), Waiting: waiting, Slots: r.slots, TokenInterval: token}
}
