package jwbench

import (
	"slices"
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwtarget"
)

// runner is a fake model engine: it batches continuously, runs the more urgent
// class first, gets slower as its batch fills, and keeps the prompt prefixes it
// used last. All calls of a batch advance together, so the runner keeps one
// clock of work done and each call ends when that clock reaches its mark.
type runner struct {
	loop          *loop
	target        jwtarget.Target
	slots         int
	speed         float64 // 1 for usual
	hidesSlowness bool    // reports the usual time between tokens whatever it is
	down          bool

	running        []*job
	waiting        [len(classes)][]*job
	cachedPrefixes []uint64 // least recently used first
	maxPrefixes    int      // prefixes kept at most
	workClock      float64  // seconds of work each running call has had
	advancedAt     time.Time
	generation     int     // tells events of an older batch apart
	busySeconds    float64 // seconds of work done in all
}

// classes in the order of their priority.
var classes = [...]jwcatalogue.Class{jwcatalogue.Confirmation, jwcatalogue.Lookup, jwcatalogue.Draft}

// Shape of the fake engine.
const (
	fullBatchSlowdown  = 0.5                   // how much longer a call takes in a full batch
	cachedPrefillShare = 0.1                   // of the prefill is left with the prefix in the cache
	baseTokenTime      = 20 * time.Millisecond // time between tokens alone in a batch
)

// endReason tells how a job ended.
type endReason string

const (
	endDone    endReason = "done"
	endCrash   endReason = "crash"
	endRefused endReason = "refused" // no connection
	endGivenUp endReason = "givenUp" // the caller has left
)

// job is one call on a runner.
type job struct {
	req            *request
	firstTokenMark float64 // mark of the first token
	endMark        float64
	firstTokenSent bool // the first token is out
	started        bool
	gone           bool
	onFirstToken   func()
	onEnd          func(endReason)
}

// submit takes a job on; a runner that is down refuses it.
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

// cancel gives a job up.
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

// crash ends all jobs and forgets the cache.
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

// restart brings a crashed runner back with a cold cache.
func (r *runner) restart() {
	r.advance()
	r.down = false
}

// rate is how fast the work clock runs.
func (r *runner) rate() float64 {
	fill := float64(len(r.running)) / float64(r.slots)
	return r.speed / (1 + fullBatchSlowdown*fill)
}

// advance brings the work clock up to now.
func (r *runner) advance() {
	passed := r.loop.now.Sub(r.advancedAt).Seconds()
	r.advancedAt = r.loop.now
	r.workClock += passed * r.rate()
	r.busySeconds += passed * float64(len(r.running)) / float64(r.slots)
}

// clockTolerance allows for rounding when a mark is compared with the clock.
const clockTolerance = 1e-6

// step ends what has reached its mark, starts what fits and waits for the next
// mark.
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

// startWaiting fills the free slots and tells whether one of the new calls crashes
// the runner.
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

// prefill returns the work up to the first token and keeps the prefix.
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

// schedule wakes the runner at the next mark.
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

// load is the runner's report on itself.
func (r *runner) load() jwtarget.Load {
	waiting := 0
	for i := range r.waiting {
		waiting += len(r.waiting[i])
	}
	token := time.Duration(float64(baseTokenTime) / r.rate())
	if r.hidesSlowness {
		token = time.Duration(float64(baseTokenTime) / r.rate() * r.speed)
	}
	return jwtarget.Load{Running: len(r.running), Waiting: waiting, Slots: r.slots, Token: token}
}
