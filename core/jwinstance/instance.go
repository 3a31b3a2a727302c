package jwinstance

import (
	"net/netip"
	"time"

	"jujubewheel/core/jwstore"
)

// Instance is one incarnation of a target as described by its registration.
type Instance struct {
	ID         string         `json:"id"` // unique name of the target
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"dataCentre"`
	Region     string         `json:"region"`
	Version    string         `json:"version,omitempty"` // of its software
	Slots      int            `json:"slots"`             // number of requests that it runs at once
	Draining   bool           `json:"draining"`
	// Leaving is set when the target announced in an answer that it is leaving. No
	// registration resets it.
	Leaving       bool             `json:"leaving,omitempty"`
	Cold          time.Duration    `json:"cold"`     // how long it remains cold from the time of the registration
	RemainingTime time.Duration    `json:"left"`     // time until the target is removed, 0 if not known
	StartedAt     int64            `json:"born"`     // start of the incarnation in Unix milliseconds, 0 if not known
	Revision      jwstore.Revision `json:"revision"` // revision of the store at this registration
}

// Part is a contiguous part of a prompt.
type Part struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// Prompt describes the prompt and the maximum output of a request to a model engine. The zero value
// is a request to a plain service.
type Prompt struct {
	Parts  []Part
	Tokens int // length of the prompt
	Output int // maximum number of tokens of the answer
}

// Shared returns the parts that other requests may have too: all but the last, which belongs to the
// request or its session.
func (p Prompt) Shared() []Part { return p.Parts[:max(len(p.Parts)-1, 0)] }

// memoryTokens returns the memory that a request occupies while it runs, in tokens. Parts that the
// target had cached count too, as they can't be evicted while the request uses them.
func (p Prompt) memoryTokens() int { return p.Tokens + p.Output }
