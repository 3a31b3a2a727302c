package jwshare

import (
	"math"
	"sync"
	"time"

	"jujubewheel/core/jwledger"
)

// PlanInterval is how long a plan is used before it is computed again.
const PlanInterval = 100 * time.Millisecond

// Reason is why a request was rejected.
type Reason string

// The reasons.
const (
	OverShare  Reason = "the workspace is over its share of what the targets can run"
	LessUrgent Reason = "the targets can run only more urgent requests"
)

// Decision is the outcome for one request, with what it rests on.
type Decision struct {
	Admitted bool
	Fraction float64       // part of such requests that is admitted
	Reason   Reason        // set if rejected
	Asked    float64       // work a second that the workspace, or all unnamed ones together, ask for at this level
	Granted  float64       // work a second that they get
	Total    float64       // work a second that all ask for
	Room     float64       // work a second that the region can run
	Waiting  float64       // admitted work that waits for its first event
	Age      time.Duration // of the oldest report that the decision rests on
}

// Times returns how many times its share the workspace asks for.
func (d Decision) Times() float64 {
	if d.Granted <= 0 {
		return 0
	}
	return d.Asked / d.Granted
}

// Shares holds the plan for one service. Its exported fields are set before use and may be nil. It is
// safe for concurrent use.
type Shares struct {
	// Weight returns the weight of a workspace, 1 if there is no reason for another.
	Weight func(workspace string) float64
	// Workspaces returns how many workspaces there are.
	Workspaces func() int

	mu      sync.Mutex
	room    room
	planned time.Time
	plan    plan
}

type plan struct {
	limited bool
	// correction scales the fractions, see Shares.correct.
	correction float64
	named      map[jwledger.Key]share
	rest       [jwledger.Levels]share
	total      jwledger.Sums
	room       float64
	age        time.Duration
	at         time.Time
	short      [jwledger.Levels]bool // all workspaces of the level get less than half of what they ask for
}

type share struct{ asked, granted float64 }

// fraction returns the part of the requests to be admitted.
func (s share) fraction() float64 {
	if s.asked <= 0 || s.granted >= s.asked {
		return 1
	}
	return s.granted / s.asked
}

// Due reports whether the plan should be computed again by Update.
func (s *Shares) Due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.planned)
	return s.planned.IsZero() || age >= PlanInterval || age < 0
}

// Limited reports whether the plan limits any request.
func (s *Shares) Limited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan.limited
}

// Update computes the plan for a view of the region and the state of its targets.
func (s *Shares) Update(now time.Time, v jwledger.View, supply Supply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planned = now
	p := plan{age: v.Age, at: now}
	for level := range jwledger.Levels {
		p.total.Add(v.Total(level))
	}
	s.room.update(now, p.total, supply)
	p.limited, p.room = s.room.limited && s.room.work < p.total.Offered, s.room.work
	p.correction = 1
	if p.limited {
		p.correction = s.correct(now, p)
		s.fill(&p, v)
	}
	s.plan = p
}

const (
	// minCorrection is the least part of its share that a workspace is held to while returning callers,
	// who are all admitted in their slots, take the rest.
	minCorrection = 0.3
	// correctionTime is the time constant of the correction.
	correctionTime = time.Second
)

// correct returns by how much the fractions are scaled so that the work admitted is the room: callers
// return at the times at which they are admitted, so more than the fraction of the requests is.
func (s *Shares) correct(now time.Time, p plan) float64 {
	old := s.plan
	if !old.limited || p.total.Admitted <= 0 {
		return 1
	}
	dt := min(max(now.Sub(old.at), 0), correctionTime)
	c := old.correction * math.Pow(p.room/p.total.Admitted, dt.Seconds()/correctionTime.Seconds())
	return min(max(c, minCorrection), 1)
}

// fill divides the room among the named workspaces and the others.
func (s *Shares) fill(p *plan, v jwledger.View) {
	keys := make([]jwledger.Key, 0, len(v.Named))
	claims := make([]Claim, 0, len(v.Named)+jwledger.Levels)
	var named [jwledger.Levels]int
	for key, sums := range v.Named {
		keys = append(keys, key)
		claims = append(claims, Claim{key.Level, sums.Offered, s.weight(key.Workspace)})
		named[key.Level]++
	}
	for level := range jwledger.Levels {
		claims = append(claims, Claim{level, v.Rest[level].Offered, float64(s.unnamed(v.Size, named[level]))})
	}
	granted := Fill(p.room, claims)
	p.named = make(map[jwledger.Key]share, len(keys))
	for i, key := range keys {
		p.named[key] = share{claims[i].Work, granted[i]}
	}
	for level := range jwledger.Levels {
		i := len(keys) + level
		p.rest[level] = share{claims[i].Work, granted[i]}
	}
	var asked, got [jwledger.Levels]float64
	for i, c := range claims {
		asked[c.Level] += c.Work
		got[c.Level] += granted[i]
	}
	for level := range jwledger.Levels {
		p.short[level] = got[level] < asked[level]/2
	}
}

// unnamed returns how many workspaces the rest of a level stands for: all that aren't named, and more
// than can be named, since each of them asks for less than any named one.
func (s *Shares) unnamed(size, named int) int {
	if s.Workspaces == nil {
		return size + 1
	}
	return max(s.Workspaces()-named, 1)
}

func (s *Shares) weight(workspace string) float64 {
	if s.Weight == nil {
		return 1
	}
	return s.Weight(workspace)
}

// Decide decides on a request. admits reports whether the request is among those admitted if a fraction
// of the requests like it is.
func (s *Shares) Decide(now time.Time, key jwledger.Key, admits func(fraction float64) bool) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.plan
	if !p.limited {
		return Decision{Admitted: true, Fraction: 1}
	}
	own, ok := p.named[key]
	if !ok {
		own = p.rest[key.Level]
	}
	fraction := own.fraction()
	if fraction < 1 {
		fraction *= p.correction
	}
	if admits(fraction) {
		return Decision{Admitted: true, Fraction: fraction}
	}
	d := Decision{
		Fraction: fraction,
		Reason:   OverShare, Asked: own.asked, Granted: own.granted, Total: p.total.Offered, Room: p.room,
		Waiting: p.total.Waiting, Age: p.age + max(now.Sub(p.at), 0),
	}
	if p.short[key.Level] {
		d.Reason = LessUrgent
	}
	return d
}
