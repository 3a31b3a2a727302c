package jwshare

import (
	"math"
	"time"

	"jujubewheel/core/jwledger"
)

const (
	// lossHigh is the part of the admitted work that is lost for want of room from which on the room is
	// what was not lost. Below lossLow the room grows.
	lossHigh = 0.05
	lossLow  = 0.02
	// waitHigh is the wait at the best targets, relative to the shortest goal, below which there is no
	// shortage whatever is lost. Below half of it the room grows faster.
	waitHigh = 0.5
	// growth is by how much the room grows in a second, and fastGrowth while targets hardly wait.
	growth     = 0.6
	fastGrowth = 3
	// endMargin is the part of the room that demand must stay below, for endPeriod, to end a shortage.
	endMargin = 0.9
	endPeriod = 2 * time.Second
	// maxStep bounds the time between two updates that counts, as after a pause of the process.
	maxStep = time.Second
	// leastOutput is the part of the largest useful output that the room is not set below, so that
	// requests which are lost for other reasons can't close a service. outputMemory is the time constant
	// with which the largest output is forgotten.
	leastOutput  = 0.5
	outputMemory = 30 * time.Second
	// minTargetRoom is the least room that a target counts for while no output is known.
	minTargetRoom = 0.1
	// defaultGoal is the goal that waits are compared with if no request has one.
	defaultGoal = 2 * time.Second
)

// Supply is what is known of the targets of a service.
type Supply struct {
	Targets float64       // usable targets of the region
	Wait    time.Duration // at the best targets that requests of the region may be sent to
	Goal    time.Duration // the shortest goal of the requests; 0 if there is none
}

// pressed reports whether requests wait longer than a part of the goal.
func (s Supply) pressed(part float64) bool {
	goal := s.Goal
	if goal <= 0 {
		goal = defaultGoal
	}
	return float64(s.Wait) > part*float64(goal)
}

// room estimates the work that a region can run in a second from what becomes of the work admitted. It
// follows what passes, so that work which another region runs for this one counts.
type room struct {
	limited  bool
	work     float64 // a second; set if limited
	at       time.Time
	targets  float64   // usable targets at the last update
	output   float64   // largest useful output of a target lately
	calmFrom time.Time // since when demand has stayed below endMargin
}

// update updates the estimate by the rates of the region and the state of its targets.
func (r *room) update(now time.Time, total jwledger.Sums, s Supply) {
	dt := min(max(now.Sub(r.at), 0), maxStep)
	if r.at.IsZero() {
		dt = 0
	}
	r.at = now
	if r.limited && r.targets > 0 && s.Targets < r.targets {
		r.work *= s.Targets / r.targets // a smaller fleet is not found out by losses
	}
	r.targets = s.Targets
	r.output *= math.Exp(-dt.Seconds() / outputMemory.Seconds())
	if s.Targets >= 1 {
		r.output = max(r.output, total.Useful/s.Targets)
	}
	passed := max(total.Admitted-total.Lost, 0)
	lost := 0.0
	if total.Admitted > 0 {
		lost = total.Lost / total.Admitted
	}
	if r.limited {
		r.work = max(r.work, passed) // rates rise gradually, so a limit set early may be too low
	}
	switch {
	case lost >= lossHigh && s.pressed(waitHigh):
		r.work = max(passed, r.least(s))
		r.limited, r.calmFrom = true, time.Time{}
	case r.limited && !s.pressed(waitHigh/2):
		r.work *= math.Pow(1+fastGrowth, dt.Seconds())
	case r.limited && (lost < lossLow || !s.pressed(waitHigh)):
		r.work *= math.Pow(1+growth, dt.Seconds())
	}
	if r.limited {
		// Without this, a moment without any target would leave a room of nothing, which can't grow.
		r.work = max(r.work, r.least(s))
	}
	r.end(now, total.Offered)
}

// least returns the room that the targets count for whatever is lost.
func (r *room) least(s Supply) float64 { return max(minTargetRoom, leastOutput*r.output) * s.Targets }

// end ends the limit once demand has stayed below the room for endPeriod.
func (r *room) end(now time.Time, offered float64) {
	if !r.limited || offered > endMargin*r.work {
		r.calmFrom = time.Time{}
		return
	}
	if r.calmFrom.IsZero() || now.Before(r.calmFrom) {
		r.calmFrom = now
	}
	if now.Sub(r.calmFrom) >= endPeriod {
		r.limited, r.calmFrom = false, time.Time{}
	}
}
