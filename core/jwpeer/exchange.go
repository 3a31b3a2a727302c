package jwpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// silentPeerDivisor is the average number of periods in which one exchange goes to
// a silent node.
const silentPeerDivisor = 8

// Digest is what one node sends to another in one exchange.
type Digest struct {
	From      string
	Peers     []Peer
	Updates   []StateUpdate
	News      News
	ResendAll bool // the sender does not have all that it was sent; the receiver must send it everything
	Complete  bool // the digest is complete: it does not depend on earlier ones
}

// empty reports whether the digest has nothing to report.
func (t *Digest) empty() bool { return len(t.Peers) == 0 && len(t.Updates) == 0 && t.News.empty() }

// Transport sends a digest to another node and returns its answer.
type Transport interface {
	Exchange(ctx context.Context, to Peer, digest Digest) (Digest, error)
}

// Exchange keeps the table in sync with those of the other nodes. In each period
// it exchanges digests with one partner; after an urgent change it does so at once
// with all partners.
//
// A node that is no relay exchanges only with the relays of its data centre. A
// relay exchanges with all nodes of its data centre, with the other relays of its
// region, and with the relays of one data centre in each other region. A partner
// is sent only what it has not been sent yet, and most of that as updates. So the
// messages of a node don't grow with the fleet, and those of a relay grow with its
// data centre.
type Exchange struct {
	Table                *Table
	Transport            Transport
	Period               time.Duration // time between exchanges with one partner
	MinHeartbeatInterval time.Duration // min time between heartbeats: states that are published without a change
	Timeout              time.Duration // for one exchange
	Silence              time.Duration // age of the newest state from which on a peer is no partner
	Now                  func() time.Time
	Rand                 *rand.Rand
	News                 Reporter                 // may be nil
	Failed               func(to Peer, err error) // called after a failed exchange; may be nil
	// Gatherer returns the name of the node that needs to know the revision in
	// force at each node of a region. If it is nil, all nodes need to.
	Gatherer func(peers []Peer, region string) string

	once          sync.Once
	trigger       chan struct{}
	mu            sync.Mutex
	view          view
	partnerStates map[string]*partnerState
}

// partnerState records what was exchanged with a partner.
type partnerState struct {
	sentVersion       uint64    // version of the table that the partner has, 0 for none
	remoteSentVersion uint64    // sentVersion for the updates that are sent when recipient.remoteDue
	remoteSentAt      time.Time // when those updates were last sent
	inSync            bool      // whether this node has everything that the partner sent
	failedAt          time.Time // when the last exchange failed, zero if it succeeded
	finishedAt        time.Time // end of the last exchange that this node started or answered
}

// Trigger starts an exchange with all partners at once, for news that must not wait for
// the next period.
func (x *Exchange) Trigger() {
	x.once.Do(x.makeTrigger)
	select {
	case x.trigger <- struct{}{}:
	default:
	}
}

func (x *Exchange) makeTrigger() { x.trigger = make(chan struct{}, 1) }

// Run exchanges digests until ctx ends and returns the error of ctx.
func (x *Exchange) Run(ctx context.Context) error {
	x.once.Do(x.makeTrigger)
	period := time.NewTimer(0)
	defer period.Stop()
	// Without a random first interval, nodes that start together would send their
	// heartbeats at the same time forever.
	lastHeartbeat := x.Now().Add(-x.randomDuration(x.MinHeartbeatInterval))
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
			if now, interval := x.Now(), HeartbeatInterval(x.MinHeartbeatInterval, v.regionNodes); now.Sub(lastHeartbeat) >= interval {
				lastHeartbeat = now.Add(-x.randomDuration(interval / heartbeatJitterDivisor))
				x.Table.Update(now, func(*Peer) {})
			}
			x.exchangeAll(ctx, x.choosePartner(v), true)
			period.Reset(x.nextPeriod(v))
		}
	}
}

// heartbeatJitterDivisor sets the jitter of the heartbeats: the interval is shortened
// by a random part of up to 1/heartbeatJitterDivisor.
const heartbeatJitterDivisor = 4

// batchDelayDivisor sets the delay before changes are sent, as a fraction of the period,
// so that changes of all nodes of a data centre at the same time are sent together.
const batchDelayDivisor = 5

// waitForBatch waits for the batch delay, or until Trigger is called or ctx ends.
func (x *Exchange) waitForBatch(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-x.trigger:
	case <-time.After(x.Period / batchDelayDivisor):
	}
}

// These are the max numbers of nodes and partners for which the configured period
// applies. With more nodes in a data centre each node contacts its relays less
// often, or the relays would be overloaded. With more partners a relay contacts
// them at shorter intervals, or the loads of the regions would be out of date when
// they arrive.
const (
	baseDataCentreNodes = 12
	basePartners        = 12
)

// nextPeriod returns the time until the next exchange. It is random, so that nodes
// that started together don't exchange at the same time.
func (x *Exchange) nextPeriod(v view) time.Duration {
	period := x.Period
	if v.relay {
		period = period * basePartners / time.Duration(max(basePartners, len(v.periodic)))
	} else {
		period = period * time.Duration(max(baseDataCentreNodes, v.dataCentreNodes)) / baseDataCentreNodes
	}
	return period/2 + time.Duration(x.randomBelow(int64(period)))
}

// randomDuration returns a random duration below d.
func (x *Exchange) randomDuration(d time.Duration) time.Duration {
	return time.Duration(x.randomBelow(int64(max(d, 1))))
}

// randomBelow returns a random number from 0 to n-1. The lock is needed because Rand
// is not safe for concurrent use, and Run and Answer may run at the same time.
func (x *Exchange) randomBelow(n int64) int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Rand.Int64N(n)
}

// otherRelayDivisor is the average number of periods in which a node that is no relay
// may exchange once with another relay than its preferred one.
const otherRelayDivisor = 8

// preferredRelay returns the relay that a node usually exchanges with, as a list of at
// most one. If the node used all relays in turn, each would send it the same states.
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

// choosePartner returns the partner for this period, as a list of at most one: the
// partner whose last exchange is the longest ago, but for a node that is no relay
// usually its preferred relay. Once in a while it is a silent node. Otherwise two
// parts of the fleet would never find each other again after a network partition.
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
		if oldest == nil || x.stateOf(p.Name).finishedAt.Before(x.stateOf(oldest.Name).finishedAt) {
			oldest = p
		}
	}
	if oldest == nil {
		return nil
	}
	return []Peer{*oldest}
}

// silentPeers returns the known nodes that are not fresh. Only relays try those of
// other regions, unless this node has no other partner.
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

// exchangeAll exchanges with the partners at the same time. It skips partners for
// which there is nothing to send, unless sendEmpty is set.
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
	answer, err := x.Transport.Exchange(ctx, p, digest)
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

// recordFailure records a failed exchange. The partner may have sent its answer and
// assume that this node has it, so it must send everything again.
func (x *Exchange) recordFailure(p Peer) {
	x.mu.Lock()
	ps := x.stateOf(p.Name)
	ps.inSync = false
	ps.failedAt = x.Now()
	ps.finishedAt = ps.failedAt
	if slices.ContainsFunc(x.view.partners, func(q Peer) bool { return q.Name == p.Name }) {
		x.view.computedAt = time.Time{} // so that the next view has other partners instead of it
	}
	x.mu.Unlock()
	if x.News != nil {
		x.News.Forget(p.Name)
	}
}

// recordSent records what a partner was sent.
func (x *Exchange) recordSent(name string, digest Digest, version uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	ps := x.stateOf(name)
	ps.sentVersion = max(ps.sentVersion, version)
	if ps.remoteSentVersion == 0 || digest.Complete {
		ps.remoteSentVersion = version
	}
	ps.failedAt = time.Time{}
	ps.finishedAt = x.Now()
}

// receive stores in the table what a partner sent.
func (x *Exchange) receive(digest Digest) {
	allKnown := x.Table.receive(digest.From, digest.Peers, digest.Updates, x.Now())
	x.mu.Lock()
	ps := x.stateOf(digest.From)
	ps.inSync = allKnown && (ps.inSync || digest.Complete)
	if digest.ResendAll {
		ps.sentVersion, ps.remoteSentVersion = 0, 0
	}
	ps.failedAt = time.Time{}
	x.mu.Unlock()
	if digest.ResendAll && x.News != nil {
		x.News.Forget(digest.From)
	}
}

// stateOf returns the state kept for a partner; x.mu must be held.
func (x *Exchange) stateOf(name string) *partnerState {
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

// Answer merges the digest of another node and returns what that node has not been
// sent yet.
func (x *Exchange) Answer(digest Digest) Digest {
	x.receive(digest)
	from, known := x.Table.Get(digest.From)
	if !known {
		return Digest{From: x.Table.Self().Name, ResendAll: true}
	}
	if x.News != nil {
		x.News.Merge(from, digest.News)
	}
	answer, version := x.digestFor(from)
	x.recordSent(from.Name, answer, version)
	return answer
}

// smallFleet is the size of a fleet up to which updates of other regions are sent in
// each exchange. In a small fleet, two hops that each wait for the heartbeat
// interval would make some nodes look silent to others now and then.
const smallFleet = 30

// digestFor returns what the partner has not been sent yet, and the version of the
// table that the partner has once it receives it.
func (x *Exchange) digestFor(p Peer) (Digest, uint64) {
	v := x.currentView()
	now := x.Now()
	x.mu.Lock()
	ps := x.stateOf(p.Name)
	if ps.remoteSentAt.IsZero() {
		// Without a random start, partners that became known together would all
		// be due at the same time forever.
		ps.remoteSentAt = now.Add(-time.Duration(x.Rand.Int64N(int64(HeartbeatInterval(x.MinHeartbeatInterval, v.fleetNodes)))))
	}
	to := recipient{
		name: p.Name, region: p.Region, gatherer: x.Gatherer == nil || v.gatherer == p.Name,
		sentVersion: ps.sentVersion, remoteSentVersion: ps.remoteSentVersion, remoteDue: v.fleetNodes <= smallFleet || now.Sub(ps.remoteSentAt) >= HeartbeatInterval(x.MinHeartbeatInterval, v.fleetNodes),
	}
	out := Digest{From: x.Table.Self().Name, ResendAll: !ps.inSync, Complete: ps.sentVersion == 0}
	x.mu.Unlock()
	missing := x.Table.deltaFor(to, now)
	if to.remoteDue {
		x.mu.Lock()
		ps.remoteSentAt, ps.remoteSentVersion = now, missing.version
		x.mu.Unlock()
	}
	out.Peers, out.Updates = missing.peers, missing.updates
	if x.News != nil {
		out.News = x.News.Report(p)
	}
	return out, missing.version
}
