package jwinstance

import (
	"net/netip"
	"time"

	"jujubewheel/core/jwstore"
)

// Instance is one incarnation of a target as it registered itself.
type Instance struct {
	ID         string           `json:"id"`
	Service    string           `json:"service"`
	Address    netip.AddrPort   `json:"address"`
	DataCentre string           `json:"dataCentre"`
	Region     string           `json:"region"`
	Slots      int              `json:"slots"`
	Draining   bool             `json:"draining"`
	Leaving    bool             `json:"leaving,omitempty"` // it said so in an answer, which no registration takes back
	Cold       time.Duration    `json:"cold"`              // how long it stays cold, as of the registration
	Left       time.Duration    `json:"left"`              // until it is taken away, 0 if not known
	Born       int64            `json:"born"`              // Unix milliseconds of its start, 0 if not said
	Revision   jwstore.Revision `json:"revision"`          // of the store at this registration
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// Prompt is what a model engine has to read and write for a request; the zero
// value is a request to a plain service.
type Prompt struct {
	Parts  []Part
	Tokens int // of the prompt
	Output int // tokens written at most
}

// held is the memory that a request takes while it runs, in tokens: parts that the
// target kept before can't yield meanwhile, so they count too.
func (p Prompt) memoryTokens() int { return p.Tokens + p.Output }
