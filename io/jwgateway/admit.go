package jwgateway

import (
	"net/http"
	"strconv"
	"time"

	"jujubewheel/core/jwadmission"
	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwplacement"
)

const (
	// minPatience is how long callers wait at least for the first event of a stream.
	minPatience = 2 * time.Second
	// patienceGoals and patienceGapGoals are how many times the goal for the first event, or for the
	// pause between two events, callers wait for the first event if that is longer.
	patienceGoals    = 4
	patienceGapGoals = 8
)

// admit decides whether a request is served at the place that was chosen for it.
func (g *Gateway) admit(now time.Time, q *request, p jwplacement.Choice) jwadmission.Decision {
	r := jwadmission.Request{
		Goal: q.entry.Goal, TimeLeft: q.deadline.Sub(now), Expected: p.Expected, OwnReadTime: p.OwnReadTime,
		HasPrompt: q.Prompt.Tokens > 0, AlreadyAccepted: q.forwarded || q.answerStarted || q.retries.Sends().Reached > 0,
	}
	if r.HasPrompt && g.controlsOverload(q.service) {
		rank := g.rank(q)
		q.behind, q.observes = p.Queue, true
		if !g.waitsForRoom(q) {
			g.observePressure(now, q)
		}
		r.Overload = &jwadmission.Overload{
			Queue: p.Queue, Rest: p.Rest, Patience: q.patience(now), Pressure: g.pressure.Of(now, q.service, rank),
		}
	}
	return g.Admission.Decide(r)
}

// observePressure records how long a request waits behind others, once it has waited in the node and
// was placed or rejected.
func (g *Gateway) observePressure(now time.Time, q *request) {
	if !q.observes {
		return
	}
	d := q.behind + q.waitedInRoom
	if q.turn != nil {
		d = q.behind + now.Sub(q.turn.since)
	}
	q.observes, q.waitedInRoom = false, 0
	g.pressure.Observe(now, q.service, g.rank(q), d, q.entry.Goal)
}

// patience returns how long the caller of a stream still waits for its first event. Other callers
// wait until the deadline, so it returns 0 for these.
func (q *request) patience(now time.Time) time.Duration {
	if q.entry.Kind != jwentry.Stream {
		return 0
	}
	total := max(minPatience, patienceGoals*q.entry.Goal, patienceGapGoals*q.entry.GapGoal)
	return max(total-now.Sub(q.arrived), 1)
}

// prioritiesPerLevel is how many priorities of entries are told apart within one of workspaces, and
// how many of workspaces.
const prioritiesPerLevel = 3

// maxRank is the least urgent rank.
const maxRank = prioritiesPerLevel*prioritiesPerLevel - 1

// rank returns the priority by which targets admit a request. Under overload control requests of
// workspaces of the same priority are ordered by the priority of their entry; a forwarded request
// has the rank that the forwarding node gave it, if that controls overload too.
func (g *Gateway) rank(q *request) int {
	if q.Prompt.Tokens == 0 || !g.controlsOverload(q.service) {
		return q.priority
	}
	if rank, err := strconv.Atoi(q.givenRank); err == nil && q.forwarded {
		return min(max(rank, 0), maxRank)
	}
	level := func(priority int) int { return min(max(priority, 0), prioritiesPerLevel-1) }
	return prioritiesPerLevel*level(q.priority) + level(q.entry.Priority)
}

// setRank sets the header with the rank of a request, for a node that controls overload. Others read
// the priority, which is on a scale of its own.
func (g *Gateway) setRank(h http.Header, q *request) {
	delete(h, headerRank)
	if q.Prompt.Tokens > 0 && g.controlsOverload(q.service) {
		h[headerRank] = []string{strconv.Itoa(g.rank(q))}
	}
}

// setGapGoal sets the header with the entry's goal for pauses, for the node that chooses the target.
func (g *Gateway) setGapGoal(h http.Header, q *request) {
	delete(h, headerGapGoal)
	if q.entry.GapGoal > 0 && g.controlsOverload(q.service) {
		h[headerGapGoal] = []string{strconv.FormatInt(q.entry.GapGoal.Milliseconds(), 10)}
	}
}
