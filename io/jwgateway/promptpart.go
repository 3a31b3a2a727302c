package jwgateway

import (
	"strconv"
	"strings"
	"time"

	"jujubewheel/core/jwinstance"
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

// rejectBarredPart rejects a request if a part of its prompt is barred.
func (g *Gateway) rejectBarredPart(now time.Time, q *request) (v Verdict, barred bool) {
	bar, retryAfter := g.parts.Check(now, partIDs(q.Prompt))
	if bar == nil {
		return rejected, false
	}
	g.metrics.partRejections.Inc(1)
	return q.reject(partBarred, retryAfter), true
}

// ownsPart reports whether this node is the one of the fleet that runs the trials of a barred part.
func (g *Gateway) ownsPart(id jwpart.ID) bool {
	owners := g.members.Owners(time.Now(), partName(id), "", 1)
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
		bar, retryAfter := g.parts.Check(time.Now(), []jwpart.ID{id})
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
