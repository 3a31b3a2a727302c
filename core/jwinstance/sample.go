package jwinstance

import (
	"slices"
	"time"
)

// sampleSize is how many of the targets are compared, where so many nodes choose
// among them. All nodes see the same idle target, and were all compared, each would
// send there before it learns of the others: the more is reported of loads, and the sooner,
// the worse it gets. With this an idle target is among those of two nodes in the mean.
// Two at least are compared, as two are far better than one.
func sampleSize(targets, nodes int) int {
	const minSize, nodesPerTarget = 2, 2
	return max(nodesPerTarget*targets/max(nodes, 1), minSize)
}

// draw returns the places in a list of the targets that are compared: of those that
// may take the request sampleSize at random, the one that keeps most of the prompt, and
// those that name a limit and have room for this node.
func (t *Table) selectCompared(now time.Time, n Need, list []*Target, allowGone bool) []int {
	t.collectCandidates(now, n, list, allowGone)
	limited := t.limitedCandidates
	// A limit counts requests, whatever their size, so that a large prompt there takes most
	// off the other targets.
	if len(t.candidates) > 0 && n.Prompt.Tokens < int(t.statsOf(n.Service).meanPrompt) {
		limited = nil
	}
	t.candidates = append(t.sampleCandidates(n), limited...)
	return t.candidates
}

// candidates puts the places of the targets that may take the request into t.drawn, and of
// those that name a limit into t.limited.
func (t *Table) collectCandidates(now time.Time, n Need, list []*Target, allowGone bool) {
	t.candidates, t.limitedCandidates = t.candidates[:0], t.limitedCandidates[:0]
	for i, x := range list {
		if x.Region != t.Region || !t.usable(now, x, allowGone) || n.Exclude[x.ID] || slices.Contains(n.Apart, x.Address) {
			continue
		}
		if now.Before(x.coldUntil) && (n.WarmOnly || !t.coldAllows(now, x)) {
			continue
		}
		if x.limit.Named {
			if !n.WarmOnly && t.limitAllows(now, x) {
				t.limitedCandidates = append(t.limitedCandidates, i)
			}
			continue
		}
		t.candidates = append(t.candidates, i)
	}
}

// sample returns those of the candidates that are compared.
func (t *Table) sampleCandidates(n Need) []int {
	if t.Nodes == nil || n.WarmOnly || len(t.candidates) == 0 {
		return t.candidates
	}
	size := sampleSize(len(t.byRegion[n.Service][t.Region]), t.Nodes())
	if size >= len(t.candidates) {
		return t.candidates
	}
	holder := 0
	for k, i := range t.candidates {
		if t.missingTokens[i] < t.missingTokens[t.candidates[holder]] {
			holder = k
		}
	}
	t.candidates[0], t.candidates[holder] = t.candidates[holder], t.candidates[0]
	fixed := 1
	if t.missingTokens[t.candidates[0]] == n.Prompt.Tokens {
		fixed = 0 // nobody keeps anything
	}
	for k := fixed; k < fixed+size && k < len(t.candidates); k++ {
		j := k + t.Rand(len(t.candidates)-k)
		t.candidates[k], t.candidates[j] = t.candidates[j], t.candidates[k]
	}
	return t.candidates[:min(fixed+size, len(t.candidates))]
}

// holder returns the target that holds most of the prompt that best was asked
// for, but for one, and how many tokens; one of another region only where it holds clearly more.
func (t *Table) largestHolder(now time.Time, n Need, except *Target) (*Target, int) {
	var holder *Target
	maxHeld := 0
	if len(n.Prompt.Parts) == 0 {
		return nil, 0
	}
	for i, x := range t.knownTargets(n.Service) {
		held := n.Prompt.Tokens - t.missingTokens[i]
		if x == except || held <= maxHeld {
			continue
		}
		if x.Region != t.Region {
			held -= minFetchTokens
			if len(n.Homes) > 0 && !slices.Contains(n.Homes, x.Region) {
				continue
			}
		}
		if held > maxHeld && x.goneAt.IsZero() && !now.Before(x.backoffUntil) {
			holder, maxHeld = x, held
		}
	}
	return holder, maxHeld
}

func (t *Table) usable(now time.Time, x *Target, allowGone bool) bool {
	if x.Draining || x.Leaving || t.evacuated[x.DataCentre] || now.Before(x.backoffUntil) || now.Before(x.closedUntil) {
		return false
	}
	if x.goneAt.IsZero() {
		return true
	}
	return allowGone && now.Sub(x.goneAt) < goneGracePeriod
}

// coldRoom reports whether this node may send one more request to a cold target
// within a second.
func (t *Table) coldAllows(now time.Time, x *Target) bool {
	if t.Warmup == nil || t.Share == nil {
		return true
	}
	d, rate := t.Warmup(x.Service)
	if d == 0 || rate == 0 {
		return true
	}
	x.dropOldSends(now)
	return float64(len(x.recentSends)+1) <= t.Share(x.Service, x.ID)
}

// mostSends bounds how many sends are remembered; no share of a cold target is
// as large.
const maxRecentSends = 64

// sent remembers a send, also to a warm target: one that turns out to have
// gone cold has taken what it got within the last second.
func (x *Target) recordSend(now time.Time) {
	if len(x.recentSends) == maxRecentSends {
		x.recentSends = append(x.recentSends[:0], x.recentSends[1:]...)
	}
	x.recentSends = append(x.recentSends, now)
}

func (x *Target) dropOldSends(now time.Time) {
	expired := 0
	for expired < len(x.recentSends) && now.Sub(x.recentSends[expired]) >= time.Second+50*time.Millisecond {
		expired++
	}
	x.recentSends = append(x.recentSends[:0], x.recentSends[expired:]...)
}
