package jwslope

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"jujubewheel/core/jwboard"
	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwlimit"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrouter"
	"jujubewheel/io/jwforward"
	"jujubewheel/io/jwsettings"
)

// The paces of a node, as the assembly of nodes sets them.
const (
	exchangeTimeout = time.Second
	beat            = 5 * time.Second
	silence         = 15 * time.Second
)

// fleet is the exchange of many nodes in one process. Messages are encoded and
// decoded as between real nodes; the transport is measured apart.
type fleet struct {
	members []*member
	byName  map[string]*member
}

// member is one node of a fleet.
type member struct {
	board    jwboard.Board
	exchange *jwpeer.Exchange
	relay    bool
	out      traffic
	in       traffic
	fleet    *fleet
	down     atomic.Bool
}

// traffic counts what a node moves, payload only.
type traffic struct{ messages, bytes atomic.Uint64 }

func (t *traffic) add(bytes int) {
	t.messages.Add(1)
	t.bytes.Add(uint64(bytes))
}

// count reads the counters.
func (m *member) count() (messages, bytes float64) {
	return float64(m.out.messages.Load() + m.in.messages.Load()), float64(m.out.bytes.Load() + m.in.bytes.Load())
}

// newFleet makes n nodes in data centres and regions of the target's shape; all
// know of each other from the platform's list, and nothing more.
func newFleet(n int) *fleet {
	f := &fleet{byName: make(map[string]*member)}
	var listed []jwpeer.Peer
	for i := range n {
		listed = append(listed, peer(i, n))
	}
	for i := range n {
		m := &member{fleet: f}
		self := listed[i]
		self.Incarnation = uuid.Must(uuid.NewV7()).String()
		self.State = jwpeer.Serving
		self.Sequence = 1
		now := time.Now()
		m.board.Peers.SetSelf(self, now)
		m.board.Peers.Merge(listed, now)
		m.fill(self.Region, listed, now)
		reporter := &jwboard.Reporter{Board: &m.board, Now: time.Now}
		m.exchange = &jwpeer.Exchange{
			Table: &m.board.Peers, Partner: m, News: reporter, Period: jwsettings.DefaultExchange,
			Beat: beat, Timeout: exchangeTimeout, Silence: silence, Now: time.Now,
			Rand: rand.New(rand.NewPCG(uint64(i), 1)), Gatherer: jwcatalogue.GathererOf,
		}
		reporter.Nudge = m.exchange.Nudge
		m.relay = jwpeer.IsRelay(listed, self)
		f.members = append(f.members, m)
		f.byName[self.Name] = m
	}
	return f
}

// services is how many services the entries of a fleet's catalogue name.
const services = 4

// fill gives the board a catalogue and words about other regions, so that a
// node has as much to tell as it would at work.
func (m *member) fill(self string, listed []jwpeer.Peer, now time.Time) {
	regions := make(map[string]bool)
	for _, p := range listed {
		regions[p.Region] = true
	}
	for i := range services {
		service := fmt.Sprintf("service-%d", i)
		e := entry(fmt.Sprintf("entry-%d", i), service)
		_ = m.board.Catalogue.Apply(jwcatalogue.Change{
			N: uint64(i + 1), EditID: e.Name, Author: "operator", Time: now, Entry: e.Name, After: &e,
		})
		for region := range regions {
			if region != self {
				m.board.Regions.Tell(jwrouter.Load{
					Region: region, Service: service, Wait: time.Second, Work: time.Second, Free: 0.3,
					Slots: 500, Targets: 60, Taken: now,
				})
			}
		}
		q := &jwlimit.Query{Entry: &e, Owner: "owner", Now: now, Work: time.Second, Left: time.Minute}
		m.board.Limiter.Admit(q)
	}
}

// fewRegions is the least number of regions of a fleet.
const fewRegions = 3

// peer is node i of n as the platform's list shows it.
func peer(i, n int) jwpeer.Peer {
	regions := max(n*Regions/Nodes, fewRegions)
	centres := max(n*DataCentres/Nodes, regions)
	centre := i % centres
	return jwpeer.Peer{
		Name:   fmt.Sprintf("node-%04d", i),
		Region: fmt.Sprintf("region-%02d", centre%regions), DataCentre: fmt.Sprintf("centre-%02d", centre),
		Callers: addr(i, 8080), Nodes: addr(i, 8081), State: jwpeer.Joining,
	}
}

func addr(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

// Exchange hands a message to another node of the fleet, by way of its bytes.
func (m *member) Exchange(_ context.Context, to jwpeer.Peer, told jwpeer.Told) (jwpeer.Told, error) {
	other := m.fleet.byName[to.Name]
	if other == nil || other.down.Load() || m.down.Load() {
		return jwpeer.Told{}, errors.Errorf("exchange: %s: no connection", to.Name)
	}
	got, err := m.send(other, told)
	if err != nil {
		return jwpeer.Told{}, err
	}
	return other.send(m, other.exchange.Answer(got))
}

func (m *member) send(to *member, told jwpeer.Told) (jwpeer.Told, error) {
	data, err := jwforward.EncodeTold(told)
	if err != nil {
		return jwpeer.Told{}, err
	}
	m.out.add(len(data))
	to.in.add(len(data))
	return jwforward.DecodeTold(data)
}

// run exchanges until stop is called.
func (f *fleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, m := range f.members {
		wg.Go(func() { _ = m.exchange.Run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// work is what a fleet's nodes did a second.
type work struct {
	cpu                       float64 // share of a core, mean over all nodes
	plainMessages, plainBytes float64 // mean of nodes that are no relays
	relayMessages, relayBytes float64 // mean of relays
	worstMessages, worstBytes float64 // of the busiest node
	knownShare                float64 // share of the peers that a node has heard itself
}

// measure watches the fleet for d.
func (f *fleet) measure(d time.Duration) work {
	type counts struct{ messages, bytes float64 }
	before := make([]counts, len(f.members))
	for i, m := range f.members {
		before[i].messages, before[i].bytes = m.count()
	}
	cpu, began := cpuTime(), time.Now()
	time.Sleep(d)
	took := time.Since(began).Seconds()
	w := work{cpu: (cpuTime() - cpu).Seconds() / took / float64(len(f.members))}
	var plain, relays float64
	for i, m := range f.members {
		messages, bytes := m.count()
		messages = (messages - before[i].messages) / took
		bytes = (bytes - before[i].bytes) / took
		if m.relay {
			relays++
			w.relayMessages += messages
			w.relayBytes += bytes
		} else {
			plain++
			w.plainMessages += messages
			w.plainBytes += bytes
		}
		w.worstMessages = max(w.worstMessages, messages)
		w.worstBytes = max(w.worstBytes, bytes)
	}
	w.plainMessages /= max(plain, 1)
	w.plainBytes /= max(plain, 1)
	w.relayMessages /= max(relays, 1)
	w.relayBytes /= max(relays, 1)
	w.knownShare = f.known()
	return w
}

// known is the share of peers whose own word has reached a node, over all.
func (f *fleet) known() float64 {
	var heard int
	for _, m := range f.members {
		heard += len(m.board.Peers.Select(func(p jwpeer.Peer) bool { return p.Incarnation != "" }))
	}
	return float64(heard) / float64(len(f.members)*len(f.members))
}

// change puts the next catalogue revision in force at every node.
func (f *fleet) change(revision uint64) {
	for _, m := range f.members {
		m.board.Peers.Update(time.Now(), func(p *jwpeer.Peer) { p.Revision = revision })
	}
}

// answer measures one exchange that a node of a fleet answers, without the
// transport: what came is decoded, taken, and what is lacking is encoded.
func (f *fleet) answer() (time.Duration, error) {
	self, from := f.members[0], f.members[len(f.members)-1]
	message, err := jwforward.EncodeTold(toldBy(from))
	if err != nil {
		return 0, err
	}
	const times = 500
	var cpu time.Duration
	for i := range times + 1 {
		if i == 1 {
			cpu = cpuTime() // the first exchange tells everything
		}
		told, err := jwforward.DecodeTold(message)
		if err != nil {
			return 0, err
		}
		if _, err := jwforward.EncodeTold(self.exchange.Answer(told)); err != nil {
			return 0, err
		}
	}
	return (cpuTime() - cpu) / times, nil
}

// toldBy is an empty message of a node.
func toldBy(m *member) jwpeer.Told { return jwpeer.Told{From: m.board.Peers.Self().Name} }
