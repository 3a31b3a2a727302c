package jwfleet

import (
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/io/jwload"
)

// Deployment is the size, the network and the wishes of one operator.
type Deployment struct {
	Name          string
	Regions       []string
	Model         string              // service of the model runners
	Plain         string              // the plain service
	Delay         time.Duration       // one way between regions; the platform is in the first
	LinkCostPerGB float64             // price of a link
	SentAwayCost  float64             // of a request sent away, in runner-seconds
	Weights       jwcatalogue.Weights // of all entries
	Mix           jwload.Mix
}

// Deployments are those of today by name; their prices and weights are those
// of the model in jwbench.
var Deployments = map[string]Deployment{
	"zaitoun": {
		Name:          "zaitoun",
		Regions:       []string{"amman-a", "irbid-a", "aqaba-a"},
		Model:         "menu-writer",
		Plain:         "order-desk",
		Delay:         30 * time.Millisecond,
		LinkCostPerGB: 0.03,
		SentAwayCost:  0.5,
		Weights:       jwcatalogue.Weights{Cost: 1, Tail: 0.5, SentAway: 1},
		Mix:           jwload.Mixes["zaitoun"],
	},
	"cladagh": {
		Name:          "cladagh",
		Regions:       []string{"eu-west-a", "eu-central-a", "uk-south-a"},
		Model:         "sheetwriter",
		Plain:         "quayside",
		Delay:         25 * time.Millisecond,
		LinkCostPerGB: 0.02,
		SentAwayCost:  0.2,
		Weights:       jwcatalogue.Weights{Cost: 0.2, Tail: 1, SentAway: 0.1},
		Mix:           jwload.Mixes["cladagh"],
	},
}

// The size of a region and the shape of its stand-ins.
const (
	nodesPerRegion      = 3
	runnersPerRegion    = 4
	workspacesPerRegion = 20 // in each region
	boundShare          = 0.12
	ownersPerRegion     = 5 // that the workspaces of a region are spread over

	runnerSlots = 8
	tokenTime   = 10 * time.Millisecond
	batchGrowth = 0.07 // a full batch is half as slow again
	prefill     = 50 * time.Microsecond
	cacheTokens = 60_000
	reportLag   = 100 * time.Millisecond
	serviceWork = 10 * time.Millisecond
)

// minDraftTokens is the length of an answer from which a kind is a draft.
const minDraftTokens = 100

// entries writes the catalogue that goes with the mix: as the operators wish,
// but without limits of entries, so that the capacity alone bounds the load.
func (d Deployment) entries() []jwcatalogue.Entry {
	var list []jwcatalogue.Entry
	for _, k := range d.Mix.Kinds {
		e := jwcatalogue.Entry{
			Name: k.Entry, Owner: k.Owner, Class: jwcatalogue.Lookup, Service: d.Model, Path: k.Path,
			Idempotent: !k.Key, Deadline: time.Duration(k.Deadline), Progress: time.Duration(k.Deadline),
			FirstToken: time.Duration(k.FirstToken), Weights: d.Weights, MaxBodySize: 1 << 20,
		}
		switch {
		case k.Key:
			e.Class, e.Bound, e.KeyMemory = jwcatalogue.Confirmation, true, time.Hour
		case k.Tokens >= minDraftTokens:
			e.Class = jwcatalogue.Draft
		}
		if k.Target == jwload.Service {
			e.Service = d.Plain
		} else {
			e.Regions = []string{jwcatalogue.AnyRegion}
		}
		list = append(list, e)
	}
	return list
}

// Capacity is how many requests of the mix the model runners of all regions
// finish a second with full batches and all prefixes cached.
func (d Deployment) Capacity() float64 {
	fullBatchTokenTime := float64(tokenTime) * (1 + batchGrowth*(runnerSlots-1))
	shares, work := 0.0, 0.0
	for _, k := range d.Mix.Kinds {
		shares += k.Share
		if k.Target == jwload.Runner {
			prefillTime := float64(k.Body) / bytesPerToken * float64(prefill)
			work += k.Share * (prefillTime + float64(k.Tokens)*fullBatchTokenTime)
		}
	}
	totalSlots := float64(len(d.Regions) * runnersPerRegion * runnerSlots)
	return totalSlots * shares / (work / float64(time.Second))
}

const bytesPerToken = 4
