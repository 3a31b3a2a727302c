package jwinstance

import "time"

// pauseBands are the upper bounds of the bands of a target's expected time between two events, as
// shares of the goal for the longest pause; the last band has none.
var pauseBands = [...]float64{0.1, 0.2, 0.3, 0.45, 0.7, 1}

const (
	// pauseWeight is the weight of an answer in the share of late ones in its band.
	pauseWeight = 0.03
	// latePauseCost is the cost of an answer that has too long a pause.
	latePauseCost = 500 * time.Millisecond
)

// latePauses has the share of the answers whose longest pause exceeds its goal, by the time between
// two events that was expected when they were placed.
type latePauses [len(pauseBands) + 1]float64

// pauseBand returns the band of an expected time between two events.
func pauseBand(gap, goal time.Duration) int {
	share := float64(gap) / float64(goal)
	for i, bound := range pauseBands {
		if share < bound {
			return i
		}
	}
	return len(pauseBands)
}

// observe records an answer's longest pause.
func (l *latePauses) observe(gap, goal, longest time.Duration) {
	late := 0.0
	if longest > goal {
		late = 1
	}
	share := &l[pauseBand(gap, goal)]
	*share += pauseWeight * (late - *share)
}

// cost returns the cost of the pauses to be expected.
func (l *latePauses) cost(gap, goal time.Duration) time.Duration {
	if goal <= 0 {
		return 0
	}
	return time.Duration(l[pauseBand(gap, goal)] * float64(latePauseCost))
}
