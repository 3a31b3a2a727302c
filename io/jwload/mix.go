package jwload

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/io/jwstand"
)

// Target is a kind of target.
type Target string

// The kinds of target.
const (
	Runner  Target = "runner"  // model engine, see jwstand.Runner
	Service Target = "service" // plain service, see jwstand.Service
)

// Kind is one kind of request in a mix.
type Kind struct {
	Entry      string           `json:"entry"`      // name of the entry in the catalogue
	Owner      string           `json:"owner"`      // owner of the entry
	Share      float64          `json:"share"`      // weight relative to the other kinds
	Target     Target           `json:"target"`     // kind of target that runs it
	Path       string           `json:"path"`       // path at the target, for direct requests
	Stream     bool             `json:"stream"`     // asks for a stream; runners only
	Prefix     int              `json:"prefix"`     // bytes of the prompt that all requests of a workspace share
	Body       int              `json:"body"`       // bytes that belong to one request only
	Tokens     int              `json:"tokens"`     // tokens of the answer; runners only
	Key        bool             `json:"key"`        // sends an idempotency key
	FirstToken jwstand.Duration `json:"firstToken"` // maximum time to the first token for an answer in time; 0 means no limit
	Deadline   jwstand.Duration `json:"deadline"`   // maximum time to the complete answer for an answer in time; also sent as the timeout
}

// Mix is a weighted set of request kinds.
type Mix struct {
	Name  string `json:"name"`
	Kinds []Kind `json:"kinds"`
}

const completionsPath = "/v1/completions"

// Mixes are the built-in mixes by name, one for each deployment that the
// project is built for.
var Mixes = map[string]Mix{
	"zaitoun": {Name: "zaitoun", Kinds: []Kind{
		{
			Entry: "menu-draft", Owner: "menus", Share: 2, Target: Runner, Path: completionsPath, Stream: true,
			Prefix: 8 << 10, Body: 400, Tokens: 160,
			FirstToken: jwstand.Duration(1300 * time.Millisecond), Deadline: jwstand.Duration(15 * time.Second),
		},
		{
			Entry: "status-check", Owner: "orders", Share: 6, Target: Service, Path: "/status",
			Body: 80, Deadline: jwstand.Duration(500 * time.Millisecond),
		},
		{
			Entry: "deposit-confirmation", Owner: "orders", Share: 2, Target: Service, Path: "/confirm", Key: true,
			Body: 200, Deadline: jwstand.Duration(2 * time.Second),
		},
	}},
	"cladagh": {Name: "cladagh", Kinds: []Kind{
		{
			Entry: "price-sheet", Owner: "sheets", Share: 1, Target: Runner, Path: completionsPath, Stream: true,
			Prefix: 16 << 10, Body: 800, Tokens: 240,
			FirstToken: jwstand.Duration(1300 * time.Millisecond), Deadline: jwstand.Duration(20 * time.Second),
		},
		{
			Entry: "lot-question", Owner: "buyers", Share: 6, Target: Runner, Path: completionsPath, Stream: true,
			Prefix: 2 << 10, Body: 120, Tokens: 24,
			FirstToken: jwstand.Duration(800 * time.Millisecond), Deadline: jwstand.Duration(2 * time.Second),
		},
		{
			Entry: "order-confirmation", Owner: "buyers", Share: 2, Target: Service, Path: "/confirm", Key: true,
			Body: 200, Deadline: jwstand.Duration(2 * time.Second),
		},
	}},
}

// ParseMix decodes a mix from JSON and checks it.
func ParseMix(body []byte) (Mix, error) {
	var m Mix
	if err := json.Unmarshal(body, &m); err != nil {
		return m, errors.Wrap(err, "mix")
	}
	return m, m.check()
}

// check returns an error for a mix that can't be sent.
func (m Mix) check() error {
	total := 0.0
	for _, k := range m.Kinds {
		switch {
		case k.Entry == "":
			return errors.New("mix: a kind has no entry")
		case k.Share < 0:
			return errors.Errorf("mix: entry %s: share is negative", k.Entry)
		case k.Target != Runner && k.Target != Service:
			return errors.Errorf("mix: entry %s: unknown target %q", k.Entry, k.Target)
		case k.Target == Runner && k.Tokens <= 0:
			return errors.Errorf("mix: entry %s: no tokens", k.Entry)
		case k.Stream && k.Target != Runner:
			return errors.Errorf("mix: entry %s: only runners stream", k.Entry)
		case k.Deadline <= 0:
			return errors.Errorf("mix: entry %s: no deadline", k.Entry)
		}
		total += k.Share
	}
	if total <= 0 {
		return errors.New("mix: no kind has a share")
	}
	return nil
}
