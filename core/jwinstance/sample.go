package jwinstance

import (
	"slices"
	"time"
)

// sampleSize returns how many targets to compare when many nodes choose among the same targets. All
// nodes see the same idle target; if all targets were compared, every node would send there before
// it learns of the others. More complete and more frequent load reports make this worse. With this
// size an idle target is in the samples of two nodes on average. At least two targets are compared,
// as two are far better than one.
func sampleSize(targets, nodes int) int {
	const minSize, nodesPerTarget = 2, 2
	return max(nodesPerTarget*targets/max(nodes, 1), minSize)
}

// selectCompared returns the indexes in list of the targets to compare: a random sample of those
// that may take the request, the one that has cached most of the prompt, and those that
// announce a limit of which this node's share allows one more request.
func (t *Table) selectCompared(now time.Time, n Need, list []*Target, allowGone bool) []int {
	t.collectCandidates(now, n, list, allowGone)
	limited := t.limitedCandidates
	// A limit counts requests whatever their size. While there are other targets, those with a
	// limit are left to prompts of at least the mean length, which take most load off the others.
	if len(t.candidates) > 0 && n.Prompt.Tokens < int(t.statsOf(n.Service).meanPrompt) {
		limited = nil
	}
	t.candidates = append(t.sampleCandidates(n), limited...)
	return t.candidates
}

// collectCandidates stores the indexes of the targets that may take the request in t.candidates.
// Those that announce a limit go to t.limitedCandidates instead.
func (t *Table) collectCandidates(now time.Time, n Need, list []*Target, allowGone bool) {
	t.candidates, t.limitedCandidates = t.candidates[:0], t.limitedCandidates[:0]
	for i, x := range list {
		if x.Region != t.Region || !t.usable(now, x, allowGone) || n.Exclude[x.ID] || slices.Contains(n.AvoidAddresses, x.Address) {
			continue
		}
		if x.isCold(now) && (n.WarmOnly || !t.coldAllows(now, x)) {
			continue
		}
		if n.OnlyWithRoom && !t.hasRoom(now, x, n) {
			continue
		}
		if x.limit.Announced {
			if !n.WarmOnly && t.limitAllows(now, x) {
				t.limitedCandidates = append(t.limitedCandidates, i)
			}
			continue
		}
		t.candidates = append(t.candidates, i)
	}
}

// sampleCandidates returns those of t.candidates that are compared.
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
		fixed = 0 // no candidate has cached any of it
	}
	for k := fixed; k < fixed+size && k < len(t.candidates); k++ {
		j := k + t.Rand(len(t.candidates)-k)
		t.candidates[k], t.candidates[j] = t.candidates[j], t.candidates[k]
	}
	return t.candidates[:min(fixed+size, len(t.candidates))]
}

// largestHolder returns the known target that has cached most of the prompt, other than except, and
// how many tokens. A target of another region must hold at least minFetchTokens more to be
// preferred. t.missingTokens must have been filled by best.
func (t *Table) largestHolder(now time.Time, n Need, except *Target) (*Target, int) {
	var holder *Target
	maxHeld := 0
	if len(n.Prompt.Parts) == 0 {
		return nil, 0
	}
	for i, x := range t.listFor(n) {
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

// usable reports whether requests may be sent to a target; with allowGone also to one that vanished
// within goneGracePeriod.
func (t *Table) usable(now time.Time, x *Target, allowGone bool) bool {
	if x.Draining || x.Leaving || t.evacuated[x.DataCentre] || now.Before(x.backoffUntil) || now.Before(x.closedUntil) {
		return false
	}
	if x.goneAt.IsZero() {
		return true
	}
	return allowGone && now.Sub(x.goneAt) < goneGracePeriod
}

// coldAllows reports whether this node may send one more request to a cold target, given its sends
// within the last second.
func (t *Table) coldAllows(now time.Time, x *Target) bool {
	if t.Warmup == nil || t.ColdRate == nil {
		return true
	}
	d, rate := t.Warmup(x.Service)
	if d == 0 || rate == 0 {
		return true
	}
	return float64(x.sendsWithinSecond(now)+1) <= t.ColdRate(x.Service, x.ID)
}

// sendsWithinSecond returns how many requests this node has sent to the target within the last
// second, including those that are being written.
func (x *Target) sendsWithinSecond(now time.Time) int {
	x.dropOldSends(now)
	return len(x.recentSends) + x.writing
}

// maxRecentSends limits how many sends are remembered. No node's share of a cold target is that
// large.
const maxRecentSends = 64

// BeginWrite reports whether the request of a choice may be written to its target now. The limit of a
// cold target holds for the times at which requests are written, and opening a connection, or a pause
// of this node, may have taken a while since the choice. Wrote must be called after a write that
// BeginWrite has allowed.
func (t *Table) BeginWrite(now time.Time, x *Target, c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(x.recentSends, c.sentAt.Equal); i >= 0 {
		x.recentSends = slices.Delete(x.recentSends, i, i+1)
	}
	if current := t.targets[x.ID]; current != nil && current != x {
		return false // it has restarted
	}
	if x.isCold(now) && !t.coldAllows(now, x) {
		return false
	}
	x.writing++
	return true
}

// Wrote records that a request was written, or that writing it failed.
func (t *Table) Wrote(now time.Time, x *Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.writing--
	x.recordSend(now)
}

// recordSend remembers a send, also to a warm target: one that turns out to have become cold
// already received the sends of the last second.
func (x *Target) recordSend(now time.Time) {
	if len(x.recentSends) == maxRecentSends {
		x.recentSends = append(x.recentSends[:0], x.recentSends[1:]...)
	}
	x.recentSends = append(x.recentSends, now)
}

// recentSendAge is how long a send is remembered: a second, plus a margin.
const recentSendAge = time.Second + 50*time.Millisecond

// sentRecently reports whether this node sent a request to the target within recentSendAge.
func (x *Target) sentRecently(now time.Time) bool {
	n := len(x.recentSends)
	return n > 0 && now.Sub(x.recentSends[n-1]) < recentSendAge
}

// dropOldSends forgets sends older than recentSendAge.
func (x *Target) dropOldSends(now time.Time) {
	expired := 0
	for expired < len(x.recentSends) && now.Sub(x.recentSends[expired]) >= recentSendAge {
		expired++
	}
	x.recentSends = append(x.recentSends[:0], x.recentSends[expired:]...)
}
