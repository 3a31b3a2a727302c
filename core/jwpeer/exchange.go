package jwpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// silentPeerDivisor is the number of periods of which one goes to a silent node.
const silentPeerDivisor = 8

// Digest is what one node sends another in one exchange.
type Digest struct {
	From  string
	Peers []Peer
	Marks []Mark
	News  News
	Again bool // the sender lacks something and is to be sent everything
	Whole bool // this is everything that the receiver needs
}

// empty reports whether there is nothing to report.
func (t *Digest) empty() bool { return len(t.Peers) == 0 && len(t.Marks) == 0 && t.News.empty() }

// Transport carries an exchange to another node and brings back its answer.
type Transport interface {
	Exchange(ctx context.Context, to Peer, digest Digest) (Digest, error)
}

// Exchange keeps the table level with the other nodes: every period with one
// partner, and at once with all it answers for when something changed.
//
// A node of many talks to the relays of its data centre only; relays talk to
// all nodes of their data centre, to the relays of their region and to one
// data centre's relays of each other region. A partner is sent what it has not
// been sent yet, and most of that as marks. So the messages of a node don't
// grow with the fleet, and those of a relay grow with its data centre.
type Exchange struct {
	Table   *Table
	Partner Transport
	Period  time.Duration // between exchanges with one partner
	Beat    time.Duration // least time between words of this node about itself when nothing changes
	Timeout time.Duration // for one exchange
	Silence time.Duration // after which a peer isn't chosen as a relay
	Now     func() time.Time
	Rand    *rand.Rand
	News    Reporter                 // may be nil
	Failed  func(to Peer, err error) // may be nil
	// Gatherer names the node that needs to know the revision in force at each
	// node of a region; nil when all need to.
	Gatherer func(peers []Peer, region string) string

	once          sync.Once
	trigger       chan struct{}
	mu            sync.Mutex
	view          view
	partnerStates map[string]*partnerState
}

// partnerState is how far this node is level with another.
type partnerState struct {
	sentVersion       uint64    // version of the table that the other has
	remoteSentVersion uint64    // the same for marks of other regions
	remoteSentAt      time.Time // when those were last sent
	inSync            bool      // this node has what the other has sent
	failedAt          time.Time // when the other could not be reached, zero if it can be
	finishedAt        time.Time // end of the last exchange
}

// Nudge makes the node report to its partners at once, for news that can't wait for
// the next period.
func (x *Exchange) Nudge() {
	x.once.Do(x.makeTrigger)
	select {
	case x.trigger <- struct{}{}:
	default:
	}
}

func (x *Exchange) makeTrigger() { x.trigger = make(chan struct{}, 1) }

// Run exchanges until ctx ends; it returns the error of ctx.
func (x *Exchange) Run(ctx context.Context) error {
	x.once.Do(x.makeTrigger)
	period := time.NewTimer(0)
	defer period.Stop()
	// Nodes that start together would exchange state at the same moments ever after.
	lastHeartbeat := x.Now().Add(-x.randomDuration(x.Beat))
	for {
		changed := x.Table.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			x.waitForBatch(ctx)
			x.exchangeAll(ctx, x.currentView().partners, false)
		case <-x.trigger:
			x.exchangeAll(ctx, x.currentView().partners, false)
		case <-period.C:
			v := x.currentView()
			if now, interval := x.Now(), HeartbeatInterval(x.Beat, v.regionNodes); now.Sub(lastHeartbeat) >= interval {
				lastHeartbeat = now.Add(-x.randomDuration(interval / heartbeatJitterDivisor))
				x.Table.Update(now, func(*Peer) {})
			}
			x.exchangeAll(ctx, x.choosePartner(v), true)
			period.Reset(x.nextPeriod(v))
		}
	}
}

// heartbeatJitterDivisor is the part of the pace by which the words of a node vary.
const heartbeatJitterDivisor = 4

// batchDelayDivisor is the part of a period for which changes are gathered, so that
// what all nodes of a data centre say at the same time goes out together.
const batchDelayDivisor = 5

func (x *Exchange) waitForBatch(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-x.trigger:
	case <-time.After(x.Period / batchDelayDivisor):
	}
}

// The numbers of partners at which the period is as it was set. With more nodes
// in a data centre each asks its relays less often, or the relays would be
// asked without end; with more partners a relay goes round them faster, or
// what regions say of their load would be old when it arrives.
const (
	baseDataCentreNodes = 12
	basePartners        = 12
)

// nextPeriod spreads the periods of nodes that started together.
func (x *Exchange) nextPeriod(v view) time.Duration {
	period := x.Period
	if v.relay {
		period = period * basePartners / time.Duration(max(basePartners, len(v.periodic)))
	} else {
		period = period * time.Duration(max(baseDataCentreNodes, v.dataCentreNodes)) / baseDataCentreNodes
	}
	return period/2 + time.Duration(x.randomBelow(int64(period)))
}

// randomDuration returns a random randomDuration of a time.
func (x *Exchange) randomDuration(d time.Duration) time.Duration {
	return time.Duration(x.randomBelow(int64(max(d, 1))))
}

// randomBelow returns a random number below n. Rand is not safe for use by Run and
// Answer at once, as when the period ends while another node exchanges.
func (x *Exchange) randomBelow(n int64) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Rand.Int64N(n)
}

// otherRelayDivisor is the number of periods of which a plain node spends one with
// another relay than its own.
const otherRelayDivisor = 8

// preferredRelay is the relay that a plain node asks as a rule. Asking all of them in turn
// would have each report the same to it.
func (x *Exchange) preferredRelay(relays []Peer) []Peer {
	if len(relays) == 0 {
		return nil
	}
	self := x.Table.Self().Name
	score := func(p Peer) uint64 { return xxhash.Sum64String(self + "\x00" + p.Name) }
	best := 0
	for i := range relays {
		if score(relays[i]) > score(relays[best]) {
			best = i
		}
	}
	return relays[best : best+1]
}

// choosePartner picks the partner of this period: the choosePartner whose last exchange is the
// longest ago, for a plain node mostly its own relay. Now and then it is a node that fell silent: after a cut nobody
// else would try it, and two halves that each work would never learn of each
// other again.
func (x *Exchange) choosePartner(v view) []Peer {
	if len(v.periodic) == 0 || x.randomBelow(silentPeerDivisor) == 0 {
		if silent := x.silentPeers(v); len(silent) > 0 {
			i := int(x.randomBelow(int64(len(silent))))
			return silent[i : i+1]
		}
	}
	if !v.relay && x.randomBelow(otherRelayDivisor) > 0 {
		return x.preferredRelay(v.periodic)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var oldest *Peer
	for i := range v.periodic {
		p := &v.periodic[i]
		if oldest == nil || x.partnerState(p.Name).finishedAt.Before(x.partnerState(oldest.Name).finishedAt) {
			oldest = p
		}
	}
	if oldest == nil {
		return nil
	}
	return []Peer{*oldest}
}

// silentPeers returns the nodes that are known and not seen. Those of other
// regions are left to the relays, unless there is nobody else to ask.
func (x *Exchange) silentPeers(v view) []Peer {
	self := x.Table.Self()
	since := x.Now().Add(-x.Silence)
	alone := len(v.periodic) == 0
	seen := make(map[string]bool)
	if !alone {
		for _, p := range x.Table.Fresh(since) {
			seen[p.Name] = true
		}
	}
	return x.Table.Select(func(p Peer) bool {
		return p.Name != self.Name && isActive(p) && !seen[p.Name] && (alone || v.relay || p.Region == self.Region)
	})
}

// exchangeAll exchanges with the partners at the same time; those that would be sent
// nothing are left out unless all is set.
func (x *Exchange) exchangeAll(ctx context.Context, partners []Peer, sendEmpty bool) {
	var wg sync.WaitGroup
	for _, p := range partners {
		digest, version := x.digestFor(p)
		if digest.empty() && !sendEmpty {
			continue
		}
		wg.Go(func() { x.exchange(ctx, p, digest, version) })
	}
	wg.Wait()
}

func (x *Exchange) exchange(ctx context.Context, p Peer, digest Digest, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	answer, err := x.Partner.Exchange(ctx, p, digest)
	if err != nil {
		x.recordFailure(p)
		if x.Failed != nil && ctx.Err() != context.Canceled {
			x.Failed(p, err)
		}
		return
	}
	x.recordSent(p.Name, digest, version)
	x.receive(answer)
	if x.News != nil {
		x.News.Merge(p, answer.News)
	}
}

// recordFailure books an exchange that failed. The partner may have answered, and then
// takes it that this node has the answer: it must report all again.
func (x *Exchange) recordFailure(p Peer) {
	x.mu.Lock()
	ps := x.partnerState(p.Name)
	ps.inSync = false
	ps.failedAt = x.Now()
	ps.finishedAt = ps.failedAt
	if slices.ContainsFunc(x.view.partners, func(q Peer) bool { return q.Name == p.Name }) {
		x.view.computedAt = time.Time{} // others take its place at once
	}
	x.mu.Unlock()
	if x.News != nil {
		x.News.Forget(p.Name)
	}
}

// recordSent books what a partner has got.
func (x *Exchange) recordSent(name string, digest Digest, version uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ps := x.partnerState(name)
	ps.sentVersion = max(ps.sentVersion, version)
	if ps.remoteSentVersion == 0 || digest.Whole {
		ps.remoteSentVersion = version
	}
	ps.failedAt = time.Time{}
	ps.finishedAt = x.Now()
}

// receive writes to the table what a partner sent.
func (x *Exchange) receive(digest Digest) {
	allKnown := x.Table.receive(digest.From, digest.Peers, digest.Marks, x.Now())
	x.mu.Lock()
	ps := x.partnerState(digest.From)
	ps.inSync = allKnown && (ps.inSync || digest.Whole)
	if digest.Again {
		ps.sentVersion, ps.remoteSentVersion = 0, 0
	}
	ps.failedAt = time.Time{}
	x.mu.Unlock()
	if digest.Again && x.News != nil {
		x.News.Forget(digest.From)
	}
}

// partner returns how far this node is with another; x.mu is held.
func (x *Exchange) partnerState(name string) *partnerState {
	if x.partnerStates == nil {
		x.partnerStates = make(map[string]*partnerState)
	}
	ps := x.partnerStates[name]
	if ps == nil {
		ps = &partnerState{}
		x.partnerStates[name] = ps
	}
	return ps
}

// Answer merges what another node sent and returns what it lacks.
func (x *Exchange) Answer(digest Digest) Digest {
	x.receive(digest)
	from, known := x.Table.Get(digest.From)
	if !known {
		return Digest{From: x.Table.Self().Name, Again: true}
	}
	if x.News != nil {
		x.News.Merge(from, digest.News)
	}
	answer, version := x.digestFor(from)
	x.recordSent(from.Name, answer, version)
	return answer
}

// smallFleet is the size of a fleet up to which marks of other regions go out in
// each exchange. The two hops of a slower pace would make a few nodes look silent
// to each other now and then.
const smallFleet = 30

// digestFor returns what the partner has not had from this node, and the version of
// the table that it then has.
func (x *Exchange) digestFor(p Peer) (Digest, uint64) {
	v := x.currentView()
	now := x.Now()
	x.mu.Lock()
	ps := x.partnerState(p.Name)
	if ps.remoteSentAt.IsZero() {
		// Partners met together would all be due together ever after.
		ps.remoteSentAt = now.Add(-time.Duration(x.Rand.Int64N(int64(HeartbeatInterval(x.Beat, v.fleetNodes)))))
	}
	to := recipient{
		name: p.Name, region: p.Region, gatherer: x.Gatherer == nil || v.gatherer == p.Name,
		sentVersion: ps.sentVersion, remoteSentVersion: ps.remoteSentVersion, remoteDue: v.fleetNodes <= smallFleet || now.Sub(ps.remoteSentAt) >= HeartbeatInterval(x.Beat, v.fleetNodes),
	}
	out := Digest{From: x.Table.Self().Name, Again: !ps.inSync, Whole: ps.sentVersion == 0}
	x.mu.Unlock()
	missing := x.Table.deltaFor(to, now)
	if to.remoteDue {
		x.mu.Lock()
		ps.remoteSentAt, ps.remoteSentVersion = now, missing.version
		x.mu.Unlock()
	}
	out.Peers, out.Marks = missing.peers, missing.marks
	if x.News != nil {
		out.News = x.News.Report(p)
	}
	return out, missing.version
}
