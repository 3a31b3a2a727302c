package jwfleet

import (
	"time"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/io/jwload"
)

// Deployment is the size, the network and the preferences of one operator.
type Deployment struct {
	Name          string              // name in Deployments
	Regions       []string            // the platform is in the first one
	Model         string              // name of the service of the model runners
	Plain         string              // name of the plain service
	Delay         time.Duration       // one way between regions
	LinkCostPerGB float64             // cost of traffic between regions, per GB
	SentAwayCost  float64             // cost of a request sent to another region, in runner-seconds
	Weights       jwcatalogue.Weights // weights of all entries
	Mix           jwload.Mix          // load of the deployment
}

// Deployments are the known deployments by name. Their prices and weights are
// those of the model in jwbench.
var Deployments = map[string]Deployment{
	"zaitoun": {
		Name:          "zaitoun",
		Regions:       []string{"amman-a", "irbid-a", "aqaba-a"},
		Model:         "menu-writer",
		Plain:         "order-desk",
		Delay:         30 * time.Millisecond,
		LinkCostPerGB: 0.03,
		SentAwayCost:  0.5,
		Weights:       jwcatalogue.Weights{Cost: 1, Wait: 0.5, SentAway: 1},
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
		Weights:       jwcatalogue.Weights{Cost: 0.2, Wait: 1, SentAway: 0.1},
		Mix:           jwload.Mixes["cladagh"],
	},
}

// These constants are the size of a region and the parameters of its stand-ins.
const (
	nodesPerRegion      = 3
	runnersPerRegion    = 4
	workspacesPerRegion = 20
	boundShare          = 0.12 // share of workspaces whose data is bound to their region
	ownersPerRegion     = 5    // the workspaces of a region are spread over them

	runnerSlots = 8
	tokenTime   = 10 * time.Millisecond
	batchGrowth = 0.07 // a token takes about 1.5 times as long in a full batch
	prefill     = 50 * time.Microsecond
	cacheTokens = 60_000
	reportLag   = 100 * time.Millisecond // age of the load report of a runner
	serviceWork = 10 * time.Millisecond  // duration of a call of the plain service
)

// minDraftTokens is the minimum answer length of a kind whose entry has the
// class draft.
const minDraftTokens = 100

// entries returns the catalogue entries for the mix. They have no limits, so
// that only the capacity of the targets bounds the load.
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

// Capacity returns how many requests of the mix the model runners of all
// regions finish per second, with full batches and all prefixes cached.
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

// bytesPerToken is the number of prompt bytes per token in jwstand.Engine.
const bytesPerToken = 4
