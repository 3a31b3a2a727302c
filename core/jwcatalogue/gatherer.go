package jwcatalogue

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwstore"
)

// ConfirmedPrefix is the prefix of the keys of the confirmations, one for each region.
const ConfirmedPrefix = "catalogue/confirmed/"

// RegionConfirmation reports what all members of a region have applied. It stays
// true once it is: nodes never go back to an older revision, and a node that
// registers later reads a log that includes the revision.
type RegionConfirmation struct {
	Region   string   `json:"region"`
	Revision uint64   `json:"revision"`           // applied at every member
	Seen     uint64   `json:"seen"`               // revision that the gatherer had when it read the members
	Lagging  []string `json:"laggards,omitempty"` // names of the members whose revision is below Seen, sorted
}

// ParseRegionConfirmation reads a confirmation record.
func ParseRegionConfirmation(data []byte) (RegionConfirmation, error) {
	var c RegionConfirmation
	err := decodeRecord(data, &c)
	return c, errors.Wrap(err, "confirmation record")
}

// The intervals of a gatherer.
const (
	DefaultGatherPeriod    = 500 * time.Millisecond // minimum between two writes for a region
	DefaultMembersInterval = 30 * time.Second       // between reads of the members
	laggingInterval        = time.Second            // while members lag: between reads, and between writes of their names
	stepsPerPeriod         = 5                      // checks of the peers between two writes
)

// Gatherer writes the confirmations of a region. One node of the region does
// so, chosen by rendezvous hash. Two nodes that both act as the gatherer do no
// harm: each writes only what stays true, and no write lowers a confirmed revision.
type Gatherer struct {
	Name         string // name of this node
	Region       string
	Store        jwstore.Store
	Table        *Table
	Peers        Peers
	HostRemovals *HostRemovals // nil to ignore the host list
	Registered   func() bool   // whether this node has its own record in the store, nil for always
	Period       time.Duration // minimum between two writes, 0 for DefaultGatherPeriod

	members       []storedMember
	seen          uint64    // revision of the table before the members were read
	readAt        time.Time // when the members were read
	written       RegionConfirmation
	writtenAt     time.Time
	version       uint64 // version of the record in the store
	writtenLoaded bool   // whether written and version were read from the store
}

type storedMember struct {
	Member
	version uint64
}

// Run calls Step several times a period until the context ends.
func (g *Gatherer) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.period() / stepsPerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		// A failure of the store is retried by the next step.
		_ = g.Step(ctx, time.Now())
	}
}

// Step reads the members if that is due and writes the confirmation if it has
// changed. It does nothing on nodes that are not the gatherer of the region.
func (g *Gatherer) Step(ctx context.Context, now time.Time) error {
	peers := g.Peers.Peers()
	if GathererOf(peers, g.Region) != g.Name || g.Registered != nil && !g.Registered() {
		g.members, g.writtenLoaded = nil, false
		return nil
	}
	if g.membersReadDue(now) {
		if err := g.readMembers(ctx, now); err != nil {
			return err
		}
	}
	if err := g.deleteDeparted(ctx, peers); err != nil {
		return err
	}
	if len(g.members) == 0 {
		return nil
	}
	return g.write(ctx, g.aggregate(peers), now)
}

func (g *Gatherer) membersReadDue(now time.Time) bool {
	interval := DefaultMembersInterval
	if len(g.written.Lagging) > 0 {
		interval = laggingInterval
	}
	return g.members == nil || g.Table.Revision() > g.seen || now.Sub(g.readAt) >= interval
}

// readMembers notes the revision before it reads. A node that is not among the
// members read registers later, and then reads a log that has at least this
// revision.
func (g *Gatherer) readMembers(ctx context.Context, now time.Time) error {
	seen := g.Table.Revision()
	items, err := g.Store.List(ctx, memberPrefix(g.Region))
	if err != nil {
		return errors.Wrap(err, "list members: store")
	}
	members := make([]storedMember, 0, len(items))
	for _, item := range items {
		m, err := ParseMember(item.Value)
		if err != nil {
			return errors.Wrapf(err, "read %s: store", item.Key)
		}
		members = append(members, storedMember{m, item.Version})
	}
	g.members, g.seen, g.readAt = members, seen, now
	return nil
}

// deleteDeparted deletes the records of nodes that have left by themselves or
// that have been missing from the host list for longer than its lag. Deleting
// by version spares the record of a process that has since started under the
// same name.
func (g *Gatherer) deleteDeparted(ctx context.Context, peers []jwpeer.Peer) error {
	for i := 0; i < len(g.members); i++ {
		m := g.members[i]
		if !g.departed(m.Member, peers) {
			continue
		}
		if _, err := g.Store.Delete(ctx, MemberKey(m.Region, m.Name), m.version); err != nil {
			return errors.Wrapf(err, "delete member %s: store", m.Name)
		}
		g.members = slices.Delete(g.members, i, i+1)
		i--
	}
	return nil
}

func (g *Gatherer) departed(m Member, peers []jwpeer.Peer) bool {
	if m.Name == g.Name {
		return false
	}
	for _, p := range peers {
		if p.Name == m.Name && p.Incarnation == m.Incarnation && p.State == jwpeer.Gone {
			return true
		}
	}
	return g.HostRemovals != nil && g.HostRemovals.Gone(m)
}

// aggregate returns what all members have applied. A peer that serves without a
// record counts too: it joined through a sponsor while the store was unavailable.
func (g *Gatherer) aggregate(peers []jwpeer.Peer) RegionConfirmation {
	c := RegionConfirmation{Region: g.Region, Revision: g.seen, Seen: g.seen}
	peersByName := make(map[string]jwpeer.Peer, len(peers))
	for _, p := range peers {
		peersByName[p.Name] = p
	}
	for _, m := range g.members {
		p, ok := peersByName[m.Name]
		delete(peersByName, m.Name)
		revision := p.Revision
		if !ok || p.Incarnation != m.Incarnation {
			// A revision of another process of that name doesn't count.
			revision = 0
		}
		c.addMember(m.Name, revision)
	}
	for name, p := range peersByName {
		serves := p.State == jwpeer.Serving || p.State == jwpeer.Leaving
		m := Member{Name: name, Region: p.Region, Incarnation: p.Incarnation}
		if p.Region == g.Region && serves && !g.departed(m, peers) {
			c.addMember(name, p.Revision)
		}
	}
	slices.Sort(c.Lagging)
	return c
}

func (c *RegionConfirmation) addMember(name string, revision uint64) {
	if revision < c.Seen {
		c.Lagging = append(c.Lagging, name)
	}
	c.Revision = min(c.Revision, revision)
}

// write updates the record at most once a period when the confirmed revision
// has risen, and at most once per laggingInterval when only other fields, such
// as the names of the lagging members, have changed.
func (g *Gatherer) write(ctx context.Context, c RegionConfirmation, now time.Time) error {
	if !g.writtenLoaded {
		if err := g.readWritten(ctx); err != nil {
			return err
		}
	}
	// A confirmed revision is never lowered.
	c.Revision = max(c.Revision, g.written.Revision)
	c.Seen = max(c.Seen, g.written.Seen)
	rose := c.Revision > g.written.Revision
	detailsDiffer := c.Seen != g.written.Seen || !slices.Equal(c.Lagging, g.written.Lagging)
	sinceWrite := now.Sub(g.writtenAt)
	if sinceWrite < g.period() || !rose && (!detailsDiffer || sinceWrite < laggingInterval) {
		return nil
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	version, swapped, err := g.Store.CompareAndSwap(ctx, ConfirmedPrefix+g.Region, data, g.version)
	if err != nil || !swapped {
		g.writtenLoaded = false
		return errors.Wrap(err, "write confirmation: store")
	}
	g.written, g.version, g.writtenAt = c, version, now
	return nil
}

func (g *Gatherer) period() time.Duration { return orDefault(g.Period, DefaultGatherPeriod) }

func (g *Gatherer) readWritten(ctx context.Context) error {
	item, ok, err := g.Store.Get(ctx, ConfirmedPrefix+g.Region)
	if err != nil {
		return errors.Wrap(err, "read confirmation: store")
	}
	var c RegionConfirmation
	if ok {
		if c, err = ParseRegionConfirmation(item.Value); err != nil {
			return err
		}
	}
	g.written, g.version, g.writtenLoaded = c, item.Version, true
	return nil
}

// splitMemberKey returns the region and name in the key of a member record.
func splitMemberKey(key string) (region, name string) {
	region, name, _ = strings.Cut(strings.TrimPrefix(key, MembersPrefix), "/")
	return region, name
}
