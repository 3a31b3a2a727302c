package jwentry

import (
	"sync"

	"jujubewheel/core/jwworkspace"
)

// Demand counts the requests that only certain regions may serve, by region. The zero
// value is empty. It is safe for concurrent use.
type Demand struct {
	mu       sync.Mutex
	requests map[string]int
}

// Count records a request that only the regions of homes may serve. A request that
// all may serve (no homes) is not counted.
func (d *Demand) Count(homes jwworkspace.Regions) {
	if len(homes) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = make(map[string]int)
	}
	for _, region := range homes {
		d.requests[region]++
	}
}

// ChooseStandIns returns the regions of candidates that may serve most of the requests
// counted so far, several if they are equal. Callers should be sent there while their own
// region has no node. Before the first counted request, each entry of host counts as one
// request.
func (d *Demand) ChooseStandIns(c *Config, host string, candidates []string) []string {
	weights := make(map[string]int, len(candidates))
	for _, e := range c.byHost[host] {
		for _, region := range e.Homes {
			weights[region]++
		}
	}
	d.mu.Lock()
	if len(d.requests) > 0 {
		weights = make(map[string]int, len(candidates))
		for region, n := range d.requests {
			weights[region] = n
		}
	}
	d.mu.Unlock()
	var best []string
	for _, region := range candidates {
		switch {
		case len(best) == 0 || weights[region] > weights[best[0]]:
			best = []string{region}
		case weights[region] == weights[best[0]]:
			best = append(best, region)
		}
	}
	return best
}
