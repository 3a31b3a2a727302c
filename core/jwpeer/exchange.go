package jwpeer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	silentTries = 8  // one period in so many goes to any known node
	fullTells   = 32 // one exchange in so many tells everything again
)

// Told is what one node tells another in one exchange.
type Told struct {
	From  string
	Peers []Peer
	News  News
}

// Partner carries an exchange to another node and brings back its answer.
type Partner interface {
	Exchange(ctx context.Context, to Peer, told Told) (Told, error)
}

// Exchange keeps the table level with the other nodes: every period with one
// partner, and at once with all it answers for when something changed.
//
// A node of many talks to the relays of its data centre only; relays talk to
// all nodes of their data centre, to the relays of their region and to one
// relay of each other region. So the messages of a node don't grow with the
// fleet, and those of a relay grow with its data centre.
type Exchange struct {
	Table   *Table
	Partner Partner
	Period  time.Duration // between exchanges with one partner
	Beat    time.Duration // between words of this node about itself when nothing changes
	Timeout time.Duration // for one exchange
	Silence time.Duration // after which a peer isn't chosen as a relay
	Now     func() time.Time
	Rand    *rand.Rand
	News    Reporter                 // may be nil
	Failed  func(to Peer, err error) // may be nil

	once  sync.Once
	nudge chan struct{}
	mu    sync.Mutex
	told  map[string]map[string]word // by partner, then by peer
}

// word identifies what a partner was told of a peer.
type word struct {
	incarnation string
	sequence    uint64
}

// Nudge makes the node tell its partners at once, for news that can't wait for
// the next period.
func (x *Exchange) Nudge() {
	x.once.Do(x.start)
	select {
	case x.nudge <- struct{}{}:
	default:
	}
}

func (x *Exchange) start() { x.nudge = make(chan struct{}, 1) }

// Run exchanges until ctx ends; it returns the error of ctx.
func (x *Exchange) Run(ctx context.Context) error {
	x.once.Do(x.start)
	period := time.NewTimer(0)
	defer period.Stop()
	beat := x.Now()
	for {
		changed := x.Table.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			x.round(ctx, x.partners())
		case <-x.nudge:
			x.round(ctx, x.partners())
		case <-period.C:
			if now := x.Now(); now.Sub(beat) >= x.Beat {
				beat = now
				x.Table.Update(now, func(*Peer) {})
			}
			x.round(ctx, x.one(x.partners()))
			period.Reset(x.jittered())
		}
	}
}

// jittered spreads the periods of nodes that started together.
func (x *Exchange) jittered() time.Duration {
	return x.Period/2 + time.Duration(x.draw(int64(x.Period)))
}

// draw returns a random number below n. Rand is not safe for use by Run and
// Answer at once, as when the period ends while another node exchanges.
func (x *Exchange) draw(n int64) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Rand.Int64N(n)
}

// one picks the partner of this period. Now and then it is a node that fell
// silent: after a cut nobody else would try it, and two halves that each work
// would never hear of each other again.
func (x *Exchange) one(partners []Peer) []Peer {
	if len(partners) == 0 || x.draw(silentTries) == 0 {
		self := x.Table.Self().Name
		partners = x.Table.Select(func(p Peer) bool { return p.Name != self && takesPart(p) })
	}
	if len(partners) == 0 {
		return nil
	}
	i := int(x.draw(int64(len(partners))))
	return partners[i : i+1]
}

// partners returns the nodes this node tells of changes.
func (x *Exchange) partners() []Peer {
	self := x.Table.Self()
	fresh := x.Table.Fresh(x.Now().Add(-x.Silence))
	return Partners(fresh, self)
}

// Partners returns the nodes that self tells of changes, out of the fresh
// ones.
func Partners(fresh []Peer, self Peer) []Peer {
	centres := make(map[string]string) // data centre to region
	for _, p := range fresh {
		centres[p.DataCentre] = p.Region
	}
	relay := IsRelay(fresh, self)
	seen := map[string]bool{self.Name: true}
	var out []Peer
	add := func(peers ...Peer) {
		for _, p := range peers {
			if !seen[p.Name] && takesPart(p) {
				seen[p.Name] = true
				out = append(out, p)
			}
		}
	}
	if !relay {
		add(Relays(fresh, self.DataCentre)...)
		return out
	}
	for _, p := range fresh {
		if p.DataCentre == self.DataCentre {
			add(p)
		}
	}
	regions := make(map[string]bool)
	for _, p := range fresh {
		dc := p.DataCentre
		if dc == self.DataCentre || centres[dc] == "" {
			continue
		}
		if centres[dc] == self.Region {
			add(Relays(fresh, dc)...)
			continue
		}
		if !regions[p.Region] {
			regions[p.Region] = true
			add(Relays(fresh, dc)...)
		}
	}
	return out
}

func (x *Exchange) round(ctx context.Context, partners []Peer) {
	var wg sync.WaitGroup
	for _, p := range partners {
		wg.Go(func() { x.with(ctx, p) })
	}
	wg.Wait()
}

func (x *Exchange) with(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	told := x.tell(p.Name)
	told.News = x.news(p)
	answer, err := x.Partner.Exchange(ctx, p, told)
	if err != nil {
		if x.Failed != nil && ctx.Err() != context.Canceled {
			x.Failed(p, err)
		}
		return
	}
	x.note(p.Name, told.Peers)
	x.note(p.Name, answer.Peers)
	x.Table.Merge(answer.Peers, x.Now())
	x.hear(p, answer.News)
}

func (x *Exchange) news(to Peer) News {
	if x.News == nil {
		return News{}
	}
	return x.News.Tell(to)
}

func (x *Exchange) hear(from Peer, n News) {
	if x.News != nil {
		x.News.Hear(from, n)
	}
}

// Answer takes what another node told and returns what it lacks.
func (x *Exchange) Answer(told Told) Told {
	x.note(told.From, told.Peers)
	x.Table.Merge(told.Peers, x.Now())
	answer := x.tell(told.From)
	x.note(told.From, answer.Peers)
	if from, known := x.Table.Get(told.From); known {
		x.hear(from, told.News)
		answer.News = x.news(from)
	}
	return answer
}

// tell returns the words that the partner has not had from this node.
func (x *Exchange) tell(partner string) Told {
	peers := x.Table.Told(x.Now())
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.Rand.IntN(fullTells) == 0 {
		// An answer can be lost after it was noted here as told; the partner
		// would lack it until the peer's next word. Telling all now and then
		// bounds that.
		delete(x.told, partner)
	}
	told := x.told[partner]
	out := Told{From: x.Table.Self().Name}
	for _, p := range peers {
		if p.Name != partner && told[p.Name] != wordOf(p) {
			out.Peers = append(out.Peers, p)
		}
	}
	return out
}

// note remembers what the partner knows. A partner that restarted forgets, so
// its new incarnation makes this node tell it all again.
func (x *Exchange) note(partner string, peers []Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.told == nil {
		x.told = make(map[string]map[string]word)
	}
	told := x.told[partner]
	if told == nil {
		told = make(map[string]word)
		x.told[partner] = told
	}
	for _, p := range peers {
		if p.Name == partner && told[partner].incarnation != p.Incarnation {
			clear(told)
		}
		told[p.Name] = wordOf(p)
	}
}

func wordOf(p Peer) word { return word{p.Incarnation, p.Sequence} }
