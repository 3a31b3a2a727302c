package jwgateway

import (
	"strconv"
	"strings"
	"time"

	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwpart"
)

// partBarred is the reason for rejecting a request with a part of a prompt that has crashed targets.
const partBarred = "a part of its prompt has crashed several targets"

// partIDs returns the identifiers of the parts of a prompt that other requests may have too.
func partIDs(p jwinstance.Prompt) []jwpart.ID {
	var ids []jwpart.ID
	for _, part := range p.Shared() {
		ids = append(ids, jwpart.ID(part.ID))
	}
	return ids
}

// rejectBarredPart rejects a request if a part of its prompt is barred, and this is not its trial.
func (g *Gateway) rejectBarredPart(now time.Time, q *request) (v Verdict, barred bool) {
	bar, trial, retryAfter := g.parts.Check(now, partIDs(q.Prompt), func(id jwpart.ID) bool { return g.triesPart(now, q, id) })
	q.trial = trial
	if bar == nil {
		return notRun, false
	}
	g.metrics.partRejections.Inc(1)
	return q.reject(partBarred, retryAfter), true
}

// triesPart reports whether this node is the one of the fleet that runs the trials of a barred part with
// requests like q. It is in a region that may run them and has targets for them: another one could only
// forward the request, to a node that rejects it.
func (g *Gateway) triesPart(now time.Time, q *request, id jwpart.ID) bool {
	var regions []string
	for region, slots := range g.targets.RegionsFor(g.targetNeed(q)) {
		if slots > 0 && q.homes.Allows(region) {
			regions = append(regions, region)
		}
	}
	if len(regions) == 0 {
		return false
	}
	owners := g.members.Owners(now, partName(id), jwmember.RankRegions(regions, partName(id))[0], 1)
	return len(owners) > 0 && owners[0].Name == g.Settings.Node
}

func partName(id jwpart.ID) string { return strconv.FormatUint(uint64(id), 16) }

func partNames(ids []jwpart.ID) string {
	var names []string
	for _, id := range ids {
		names = append(names, partName(id))
	}
	return strings.Join(names, ",")
}

// logBars logs parts of prompts that were barred, or whose bars ended. from is the peer that reported
// what led to that, "" if this node noticed it.
func (g *Gateway) logBars(barred, released []jwpart.ID, from string) {
	for _, id := range barred {
		bar, _, retryAfter := g.parts.Check(time.Now(), []jwpart.ID{id}, func(jwpart.ID) bool { return false })
		if bar != nil {
			g.Log.Info("part of prompts barred", "part", partName(id), "crashes", bar.Crashes, "retryAfterMs", retryAfter.Milliseconds(), "from", from)
		}
	}
	if len(released) > 0 {
		g.Log.Info("parts of prompts released", "parts", partNames(released), "from", from)
	}
}

// mergeParts merges what a peer reported about parts of prompts.
func (g *Gateway) mergeParts(now time.Time, u jwpart.Update, peer string) {
	barred, released := g.parts.MergeUpdate(peer, u, now)
	g.logBars(barred, released, peer)
}
