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
	const least, seenBy = 2, 2
	return max(seenBy*targets/max(nodes, 1), least)
}

// draw returns the places in a list of the targets that are compared: of those that
// may take the request sampleSize at random, the one that keeps most of the prompt, and
// those that name a limit and have room for this node.
func (t *Table) draw(now time.Time, n Need, list []*Target, last bool) []int {
	t.candidates(now, n, list, last)
	limited := t.limited
	// A limit counts requests, whatever their size, so that a large prompt there takes most
	// off the other targets.
	if len(t.drawn) > 0 && n.Prompt.Tokens < int(t.pace(n.Service).prompt) {
		limited = nil
	}
	t.drawn = append(t.sample(n), limited...)
	return t.drawn
}

// candidates puts the places of the targets that may take the request into t.drawn, and of
// those that name a limit into t.limited.
func (t *Table) candidates(now time.Time, n Need, list []*Target, last bool) {
	t.drawn, t.limited = t.drawn[:0], t.limited[:0]
	for i, x := range list {
		if x.Region != t.Region || !t.usable(now, x, last) || n.Exclude[x.ID] || slices.Contains(n.Apart, x.Address) {
			continue
		}
		if now.Before(x.coldUntil) && (n.WarmOnly || !t.coldRoom(now, x)) {
			continue
		}
		if x.limit.Named {
			if !n.WarmOnly && t.limitRoom(now, x) {
				t.limited = append(t.limited, i)
			}
			continue
		}
		t.drawn = append(t.drawn, i)
	}
}

// sample returns those of the candidates that are compared.
func (t *Table) sample(n Need) []int {
	if t.Nodes == nil || n.WarmOnly || len(t.drawn) == 0 {
		return t.drawn
	}
	most := sampleSize(len(t.places[n.Service][t.Region]), t.Nodes())
	if most >= len(t.drawn) {
		return t.drawn
	}
	keeps := 0
	for k, i := range t.drawn {
		if t.missing[i] < t.missing[t.drawn[keeps]] {
			keeps = k
		}
	}
	t.drawn[0], t.drawn[keeps] = t.drawn[keeps], t.drawn[0]
	first := 1
	if t.missing[t.drawn[0]] == n.Prompt.Tokens {
		first = 0 // nobody keeps anything
	}
	for k := first; k < first+most && k < len(t.drawn); k++ {
		j := k + t.Rand(len(t.drawn)-k)
		t.drawn[k], t.drawn[j] = t.drawn[j], t.drawn[k]
	}
	return t.drawn[:min(first+most, len(t.drawn))]
}

// holder returns the target that holds most of the prompt that best was asked
// for, but for one, and how many tokens; one of another region only where it holds clearly more.
func (t *Table) holder(now time.Time, n Need, but *Target) (*Target, int) {
	var holder *Target
	most := 0
	if len(n.Prompt.Parts) == 0 {
		return nil, 0
	}
	for i, x := range t.of(n.Service) {
		held := n.Prompt.Tokens - t.missing[i]
		if x == but || held <= most {
			continue
		}
		if x.Region != t.Region {
			held -= leastFetch
			if len(n.Homes) > 0 && !slices.Contains(n.Homes, x.Region) {
				continue
			}
		}
		if held > most && x.gone.IsZero() && !now.Before(x.rest) {
			holder, most = x, held
		}
	}
	return holder, most
}

func (t *Table) usable(now time.Time, x *Target, last bool) bool {
	if x.Draining || x.Leaving || t.evacuated[x.DataCentre] || now.Before(x.rest) || now.Before(x.closed) {
		return false
	}
	if x.gone.IsZero() {
		return true
	}
	return last && now.Sub(x.gone) < goneUse
}

// coldRoom reports whether this node may send one more request to a cold target
// within a second.
func (t *Table) coldRoom(now time.Time, x *Target) bool {
	if t.Warmup == nil || t.Share == nil {
		return true
	}
	d, rate := t.Warmup(x.Service)
	if d == 0 || rate == 0 {
		return true
	}
	x.forgetSends(now)
	return float64(len(x.sends)+1) <= t.Share(x.Service, x.ID)
}

// mostSends bounds how many sends are remembered; no share of a cold target is
// as large.
const mostSends = 64

// sent remembers a send, also to a warm target: one that turns out to have
// gone cold has taken what it got within the last second.
func (x *Target) sent(now time.Time) {
	if len(x.sends) == mostSends {
		x.sends = append(x.sends[:0], x.sends[1:]...)
	}
	x.sends = append(x.sends, now)
}

func (x *Target) forgetSends(now time.Time) {
	old := 0
	for old < len(x.sends) && now.Sub(x.sends[old]) >= time.Second+50*time.Millisecond {
		old++
	}
	x.sends = append(x.sends[:0], x.sends[old:]...)
}
