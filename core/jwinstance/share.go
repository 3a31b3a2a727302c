package jwinstance

import "time"

const (
	// othersAge is how long the load that another node told counts.
	othersAge = time.Second
	// placedAge is how long a placement is told to the others: several
	// exchanges, as one may be lost.
	placedAge = 400 * time.Millisecond
	// farAge is the same for nodes of other regions, which speak once a second.
	farAge = 1300 * time.Millisecond
)

// ranks is how many ranks of urgency are told apart; all beyond are the last.
const ranks = 3

// work is prompt tokens by the rank of their requests.
type work [ranks]int

func rank(priority int) int { return min(max(priority, 0), ranks-1) }

// before returns the tokens that are read before a request of a priority: an
// engine takes the more urgent ones first.
func (w work) before(priority int) int {
	n := 0
	for _, tokens := range w[:rank(priority)+1] {
		n += tokens
	}
	return n
}

// NodeLoad is what a node has in flight at one target.
type NodeLoad struct {
	Target string `json:"target"`
	Calls  int    `json:"calls"`
	Work   work   `json:"work"`           // prompt tokens without a first event
	Held   int    `json:"held,omitempty"` // tokens of memory
	Gap    int64  `json:"gap,omitempty"`  // milliseconds between two events
}

// nodeWord is what another node of the region told last.
type nodeWord struct {
	at    time.Time
	relay bool // it is the word of a relay, with what it heard of others
	loads []targetLoad
}

type targetLoad struct {
	*Target
	NodeLoad
}

// Placement tells which parts of a prompt were sent to a target.
type Placement struct {
	Target string `json:"target"`
	Parts  []Part `json:"parts"`
	at     time.Time
	heard  bool // from another node of the region
	retold bool // from a relay, which has told others of it
	away   bool // at a target of another region
}

// place notes that a prompt was sent to a target.
func (t *Table) place(now time.Time, x *Target, p Prompt) {
	if len(p.Parts) == 0 {
		return
	}
	x.cache.use(p.Parts, x.capacity)
	t.keep(now, Placement{Target: x.ID, Parts: p.Parts, at: now})
}

// keep holds a placement as long as it is told to others.
func (t *Table) keep(now time.Time, p Placement) {
	t.placed = append(t.placed, p)
	old := 0
	for old < len(t.placed) && now.Sub(t.placed[old].at) > farAge {
		old++
	}
	t.placed = append(t.placed[:0], t.placed[old:]...)
}

// Tell returns what the other nodes of the region should know: this node's
// load at each target, and where it sent which prompts a moment ago.
func (t *Table) Tell(now time.Time) ([]NodeLoad, []Placement) { return t.TellNews(now, placedAge) }

// TellNews returns the same with the placements of an age.
func (t *Table) TellNews(now time.Time, age time.Duration) ([]NodeLoad, []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	t.expireWords(now)
	var loads []NodeLoad
	for _, x := range t.targets {
		if x.calls > 0 {
			l := NodeLoad{Target: x.ID, Calls: x.calls, Work: x.work, Held: x.tokens}
			if now.Sub(x.gapAt) < placedAge {
				l.Gap = x.gap.Milliseconds()
			}
			loads = append(loads, l)
		}
	}
	var placed []Placement
	for _, p := range t.placed {
		if !p.heard && now.Sub(p.at) <= age {
			placed = append(placed, p)
		}
	}
	return loads, placed
}

// TellFar returns what nodes of other regions should know: where the large
// parts that many prompts share were sent a moment ago. A target there can
// fetch them instead of reading them.
func (t *Table) TellFar(now time.Time) []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var placed []Placement
	told := make(map[uint64]bool)
	for i := len(t.placed) - 1; i >= 0; i-- {
		p := t.placed[i]
		if now.Sub(p.at) > farAge || len(p.Parts) < 2 || p.away {
			continue
		}
		shared := p.Parts[:len(p.Parts)-1] // the last one belongs to one caller
		last := shared[len(shared)-1]
		if told[last.ID] || last.Tokens < leastFetch {
			continue
		}
		told[last.ID] = true
		placed = append(placed, Placement{Target: p.Target, Parts: shared})
	}
	return placed
}

// Hear takes what another node of the region told.
func (t *Table) Hear(now time.Time, node string, loads []NodeLoad, placed []Placement) {
	t.hear(now, node, false, loads, placed)
}

// HearRelay takes what a relay of the region told: its own loads and those of the
// nodes that speak through it.
func (t *Table) HearRelay(now time.Time, node string, loads []NodeLoad, placed []Placement) {
	t.hear(now, node, true, loads, placed)
}

func (t *Table) hear(now time.Time, node string, relay bool, loads []NodeLoad, placed []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetWord(node)
	t.expireWords(now)
	word := nodeWord{at: now, relay: relay}
	for _, l := range loads {
		x := t.targets[l.Target]
		if x == nil {
			continue
		}
		x.others.add(l, 1)
		if l.Gap > 0 {
			x.toldGap, x.toldGapAt = time.Duration(l.Gap)*time.Millisecond, now
		}
		word.loads = append(word.loads, targetLoad{x, l})
	}
	if t.words == nil {
		t.words = make(map[string]nodeWord)
	}
	t.words[node] = word
	for _, p := range placed {
		x := t.targets[p.Target]
		if x == nil {
			continue
		}
		if t.knows(x) {
			x.cache.use(p.Parts, x.capacity)
		}
		p.at, p.heard, p.retold, p.away = now, true, relay, x.Region != t.Region
		t.keep(now, p)
	}
}

// coldDrift is by how much a target must be colder by the word of another node
// than by this one's: less is the way between them, and nodes that took each
// other's word would keep it cold for ever.
const coldDrift = 50 * time.Millisecond

// TellCold returns how many milliseconds each cold target of the region stays
// so: one that goes cold without a registration is noticed by one node only.
func (t *Table) TellCold(now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cold map[string]int64
	for _, x := range t.targets {
		if left := x.coldUntil.Sub(now); left > 0 && x.Region == t.Region && x.gone.IsZero() {
			if cold == nil {
				cold = make(map[string]int64)
			}
			cold[x.ID] = left.Milliseconds()
		}
	}
	return cold
}

// HearCold takes what another node of the region tells of cold targets.
func (t *Table) HearCold(now time.Time, cold map[string]int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, ms := range cold {
		left := time.Duration(ms) * time.Millisecond
		if x := t.targets[id]; x != nil && x.coldUntil.Sub(now) < left-coldDrift {
			x.coldUntil = now.Add(left)
		}
	}
}

// Warm returns the targets of the region that may be used and are not known to
// be cold.
func (t *Table) Warm(now time.Time) []*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Target
	for _, x := range t.targets {
		if x.Region == t.Region && t.usable(now, x, false) && !now.Before(x.coldUntil) {
			list = append(list, x)
		}
	}
	return list
}

// Woke forgets the loads that other nodes told: the node itself stood still.
func (t *Table) Woke() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node := range t.words {
		t.forgetWord(node)
	}
}

// forgetWord takes a node's loads out of the sums.
func (t *Table) forgetWord(node string) {
	for _, l := range t.words[node].loads {
		l.Target.others.add(l.NodeLoad, -1)
	}
	delete(t.words, node)
}

// expireWords forgets the nodes that have told nothing for othersAge.
func (t *Table) expireWords(now time.Time) {
	for node, word := range t.words {
		if now.Sub(word.at) >= othersAge {
			t.forgetWord(node)
		}
	}
}

// sum is what the other nodes of the region have at a target. It is kept, and
// not added up for each decision: a region of full size has some 75 nodes.
type sum struct {
	calls int
	work  work
	held  int
}

func (s *sum) add(l NodeLoad, sign int) {
	s.calls += sign * l.Calls
	s.held += sign * l.Held
	for i, tokens := range l.Work {
		s.work[i] += sign * tokens
	}
}
