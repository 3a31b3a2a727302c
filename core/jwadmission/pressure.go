package jwadmission

import (
	"math"
	"sync"
	"time"
)

const (
	// pressureDecay is the time constant with which the wait of a request loses its weight.
	pressureDecay = 500 * time.Millisecond
	// noPressureWeight is the number of requests without any wait that count in each average, so that
	// a single one does not make others wait.
	noPressureWeight = 1.0
	// maxPressureSample bounds the share of its goal that one request counts with.
	maxPressureSample = 2.0
	// ranks is the number of ranks that are told apart; higher ones count as the last.
	ranks = 9
)

// Pressure tells how long the requests of each service and rank have waited behind others. The zero
// value has seen none. It is safe for concurrent use.
type Pressure struct {
	mu       sync.Mutex
	services map[string]*[ranks]pressure
}

// pressure is the moving average of the waits as shares of the goals. It does not depend on how many
// requests a node gets.
type pressure struct {
	sum, count float64
	at         time.Time
}

// Observe records that a request is expected to wait for d behind others. Rank 0 is the most urgent.
func (p *Pressure) Observe(now time.Time, service string, rank int, d, goal time.Duration) {
	if goal <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = make(map[string]*[ranks]pressure)
	}
	list := p.services[service]
	if list == nil {
		list = new([ranks]pressure)
		p.services[service] = list
	}
	sample := min(float64(max(d, 0))/float64(goal), maxPressureSample)
	x := &list[clampRank(rank)]
	fade := x.fade(now)
	*x = pressure{x.sum*fade + sample, x.count*fade + 1, now}
}

// Of returns the longest wait, as a share of the goal, of the requests of a service that are more
// urgent than a rank. It returns to 0 when there are no further ones.
func (p *Pressure) Of(now time.Time, service string, rank int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.services[service]
	if list == nil {
		return 0
	}
	share := 0.0
	for _, x := range list[:clampRank(rank)] {
		share = max(share, x.fade(now)*x.sum/(x.count+noPressureWeight))
	}
	return share
}

// fade returns the weight that the requests so far still have.
func (p pressure) fade(now time.Time) float64 {
	if p.count == 0 {
		return 0
	}
	return math.Exp(-float64(max(now.Sub(p.at), 0)) / float64(pressureDecay))
}

func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }
