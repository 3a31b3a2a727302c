package jwentry

import (
	"sync"

	"jujubewheel/core/jwworkspace"
)

// Demand counts the requests to entries with homes by the regions that may
// serve them; the zero value is empty.
type Demand struct {
	mu       sync.Mutex
	requests map[string]int
}

// Count notes a request that some regions may serve.
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

// Stand returns the regions of a choice in which most of the requests with
// homes may be served: those that callers should be sent to while their own
// region has no node. Before any request all entries count alike.
func (d *Demand) Stand(c *Config, host string, choice []string) []string {
	weights := make(map[string]int, len(choice))
	for _, e := range c.byHost[host] {
		for _, region := range e.Homes {
			weights[region]++
		}
	}
	d.mu.Lock()
	if len(d.requests) > 0 {
		weights = make(map[string]int, len(choice))
		for region, n := range d.requests {
			weights[region] = n
		}
	}
	d.mu.Unlock()
	var best []string
	for _, region := range choice {
		switch {
		case len(best) == 0 || weights[region] > weights[best[0]]:
			best = []string{region}
		case weights[region] == weights[best[0]]:
			best = append(best, region)
		}
	}
	return best
}
