package jwdemo

import (
	"time"

	"jujubewheel/core/jwcatalogue"
)

// Names of the catalogue entries.
const (
	draft        = "menu-draft"
	lookup       = "order-status"
	confirmation = "order-confirmation"
	questionName = "menu-question"
)

// entries returns the entries that are in force from the start of the demo.
func entries() []jwcatalogue.Entry {
	weights := jwcatalogue.Weights{Cost: 1, Wait: 0.3, SentAway: 1}
	return []jwcatalogue.Entry{
		{
			Name: draft, Owner: "kitchen", Class: jwcatalogue.Draft, Service: modelService, Path: "/v1/completions",
			Idempotent: true, Deadline: 20 * time.Second, FirstToken: 5 * time.Second, Progress: 5 * time.Second,
			Weights: weights, Regions: []string{jwcatalogue.AnyRegion}, MaxBodySize: 1 << 20,
		},
		{
			Name: lookup, Owner: "front-desk", Class: jwcatalogue.Lookup, Service: plainService, Path: "/status",
			Idempotent: true, Deadline: 3 * time.Second, Progress: 2 * time.Second, Weights: weights, MaxBodySize: 1 << 14,
		},
		{
			Name: confirmation, Owner: "front-desk", Class: jwcatalogue.Confirmation, Service: plainService, Path: "/confirm",
			Bound: true, Deadline: 5 * time.Second, Progress: 3 * time.Second, Weights: weights,
			KeyMemory: time.Hour, MaxBodySize: 1 << 16,
		},
	}
}

// questionEntry returns the entry that is added while the regions are
// disconnected.
func questionEntry() jwcatalogue.Entry {
	e := entries()[0]
	e.Name, e.Class, e.Deadline = questionName, jwcatalogue.Lookup, 8*time.Second
	return e
}
