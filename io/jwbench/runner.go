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
	loop   *loop
	target jwtarget.Target
	slots  int
	speed  float64 // 1 for usual
	hides  bool    // reports the usual time between tokens whatever it is
	down   bool

	running []*job
	waiting [len(classes)][]*job
	prefix  []uint64 // least recently used first
	keeps   int      // prefixes kept at most
	clock   float64  // seconds of work each running call has had
	moved   time.Time
	turn    int     // tells events of an older batch apart
	used    float64 // seconds of work done in all
}

// classes in the order of their priority.
var classes = [...]jwcatalogue.Class{jwcatalogue.Confirmation, jwcatalogue.Lookup, jwcatalogue.Draft}

// Shape of the fake engine.
const (
	fullBatch  = 0.5                   // how much longer a call takes in a full batch
	cachedPart = 0.1                   // of the prefill is left with the prefix in the cache
	usualToken = 20 * time.Millisecond // time between tokens alone in a batch
)

// ending tells how a job ended.
type ending string

const (
	endDone    ending = "done"
	endCrash   ending = "crash"
	endRefused ending = "refused" // no connection
	endGivenUp ending = "givenUp" // the caller has left
)

// job is one call on a runner.
type job struct {
	req     *request
	first   float64 // mark of the first token
	end     float64
	began   bool // the first token is out
	runs    bool
	gone    bool
	onFirst func()
	onEnd   func(ending)
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
	r.turn++
	lost := r.running
	r.running = nil
	for i := range r.waiting {
		lost = append(lost, r.waiting[i]...)
		r.waiting[i] = nil
	}
	r.prefix = nil
	for _, j := range lost {
		j.gone = true
	}
	for _, j := range lost {
		j.onEnd(endCrash)
	}
}

// back brings a crashed runner back with a cold cache.
func (r *runner) back() {
	r.advance()
	r.down = false
}

// rate is how fast the work clock runs.
func (r *runner) rate() float64 {
	fill := float64(len(r.running)) / float64(r.slots)
	return r.speed / (1 + fullBatch*fill)
}

// advance brings the work clock up to now.
func (r *runner) advance() {
	passed := r.loop.now.Sub(r.moved).Seconds()
	r.moved = r.loop.now
	r.clock += passed * r.rate()
	r.used += passed * float64(len(r.running)) / float64(r.slots)
}

// almost allows for rounding when a mark is compared with the clock.
const almost = 1e-6

// step ends what has reached its mark, starts what fits and waits for the next
// mark.
func (r *runner) step() {
	r.advance()
	var ended []*job
	for _, j := range r.running {
		if !j.began && j.first <= r.clock+almost {
			j.began = true
			j.onFirst()
		}
		if j.end <= r.clock+almost {
			j.gone = true
			ended = append(ended, j)
		}
	}
	r.running = slices.DeleteFunc(r.running, func(j *job) bool { return j.gone })
	poison := r.start()
	r.schedule()
	for _, j := range ended {
		j.onEnd(endDone)
	}
	if poison && !r.down {
		r.crash()
	}
}

// start fills the free slots and tells whether one of the new calls crashes
// the runner.
func (r *runner) start() (poison bool) {
	for i := range r.waiting {
		for len(r.waiting[i]) > 0 && len(r.running) < r.slots {
			j := r.waiting[i][0]
			r.waiting[i] = r.waiting[i][1:]
			j.runs = true
			j.first = r.clock + r.prefill(j.req)
			j.end = j.first + j.req.decode.Seconds()
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
	i := slices.Index(r.prefix, q.prefix)
	if i >= 0 {
		work *= cachedPart
		r.prefix = slices.Delete(r.prefix, i, i+1)
	}
	r.prefix = append(r.prefix, q.prefix)
	if len(r.prefix) > r.keeps {
		r.prefix = r.prefix[1:]
	}
	return work
}

// schedule wakes the runner at the next mark.
func (r *runner) schedule() {
	r.turn++
	if len(r.running) == 0 {
		return
	}
	next := r.running[0].end
	for _, j := range r.running {
		next = min(next, j.end)
		if !j.began {
			next = min(next, j.first)
		}
	}
	turn := r.turn
	wait := time.Duration((next - r.clock) / r.rate() * float64(time.Second))
	r.loop.after(wait+time.Microsecond, func() {
		if r.turn == turn {
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
	token := time.Duration(float64(usualToken) / r.rate())
	if r.hides {
		token = time.Duration(float64(usualToken) / r.rate() * r.speed)
	}
	return jwtarget.Load{Running: len(r.running), Waiting: waiting, Slots: r.slots, Token: token}
}
