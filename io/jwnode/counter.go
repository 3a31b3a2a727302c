package jwnode

import (
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwmeter"
)

// counter counts requests; its handles are made once for each set of tags.
type counter struct {
	meter *jwmeter.Meter
	ended sync.Map // endedTags to tally.Counter
	tried sync.Map // triedTags to tally.Counter
}

type endedTags struct {
	entry   string
	outcome jwrequest.Outcome
	reason  jwdispatch.Reason
}

type triedTags struct {
	entry, kind string
	ok          bool
}

// Ended counts one request that ended at this node.
func (c *counter) Ended(entry string, outcome jwrequest.Outcome, reason jwdispatch.Reason) {
	tags := endedTags{entry, outcome, reason}
	h, found := c.ended.Load(tags)
	if !found {
		h, _ = c.ended.LoadOrStore(tags, c.meter.Counter("requests_total", jwmeter.Tags{
			"entry": entry, "outcome": string(outcome), "reason": string(reason),
		}))
	}
	h.(tally.Counter).Inc(1)
}

// Tried counts one call of a target or node.
func (c *counter) Tried(entry, kind string, ok bool) {
	tags := triedTags{entry, kind, ok}
	h, found := c.tried.Load(tags)
	if !found {
		h, _ = c.tried.LoadOrStore(tags, c.meter.Counter("calls_total", jwmeter.Tags{
			"entry": entry, "kind": kind, "ok": strconv.FormatBool(ok),
		}))
	}
	h.(tally.Counter).Inc(1)
}
