package jwcatalogue

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// MembersPrefix is the prefix of the keys of all member records.
const MembersPrefix = "catalogue/members/"

// Member is the record of a node whose confirmation every change waits for.
// A process that starts under the same name replaces the record.
type Member struct {
	Name        string `json:"name"`
	Region      string `json:"region"`
	Incarnation string `json:"incarnation"`
}

// MemberKey returns the key of a member record.
func MemberKey(region, name string) string {
	return memberPrefix(region) + name
}

func memberPrefix(region string) string { return MembersPrefix + region + "/" }

// ParseMember reads a member record.
func ParseMember(data []byte) (Member, error) {
	var m Member
	if err := decodeRecord(data, &m); err != nil {
		return Member{}, errors.Wrap(err, "member record")
	}
	return m, m.check()
}

func (m Member) check() error {
	if m.Name == "" || m.Region == "" || m.Incarnation == "" {
		return errors.Errorf("member %q of region %q, incarnation %q: one of these is empty", m.Name, m.Region, m.Incarnation)
	}
	if strings.Contains(m.Name+m.Region, "/") {
		return errors.Errorf("member %q of region %q: name or region contains a slash", m.Name, m.Region)
	}
	return nil
}

// ErrReplaced says that another process has started under this node's name.
var ErrReplaced = errors.New("another process has this node's name")

// Sponsors asks peers of the own region to confirm revisions on behalf of this
// node while it can't reach the store.
type Sponsors interface {
	// Adopt makes one serving peer call SponsoredNodes.Adopt. It returns the name
	// of the peer, which is then the sponsor, and the results of that call.
	Adopt(ctx context.Context, m Member, after uint64) (sponsor string, changes []Change, cp *Checkpoint, err error)
	// Release makes the sponsor call SponsoredNodes.Release. It returns nil also
	// if the process that adopted this node no longer runs.
	Release(ctx context.Context, sponsor string, m Member) error
}

// The default intervals of a membership.
const (
	DefaultMemberCheckInterval = 30 * time.Second // between checks of the own record
	DefaultAdoptInterval       = 500 * time.Millisecond
)

// Membership registers this node before it serves, so that changes wait for its
// confirmation, and deletes the record after the node's last request.
type Membership struct {
	Member
	Store          jwstore.Store
	Follower       *Follower
	Sponsors       Sponsors        // nil for none
	SponsoredNodes *SponsoredNodes // nodes that this node has adopted

	CheckInterval, AdoptInterval time.Duration // 0 for the defaults

	registered atomic.Bool
	sponsors   map[string]bool // peers that may still be sponsors of this node
}

// Registered reports whether the store has the record of this process.
func (m *Membership) Registered() bool { return m.registered.Load() }

// Join returns when this node may serve: either its record is in the store and
// the log was read to its head afterwards, or a serving peer has become its
// sponsor and has sent it the log.
//
// The record must be written before the log is read. A change whose gatherer
// did not see the record was then in the log before this node read its head, so
// that an accepted change is always applied here.
func (m *Membership) Join(ctx context.Context) error {
	if err := m.check(); err != nil {
		return err
	}
	for {
		if err := m.registerAndCatchUp(ctx); err == nil {
			return nil
		}
		if err := m.joinThroughSponsor(ctx); err == nil {
			return nil
		}
		if err := jwclock.Sleep(ctx, m.Follower.jitter(m.adoptInterval())); err != nil {
			return errors.Wrap(err, "join")
		}
	}
}

// registerAndCatchUp registers this node and then reads the log to its head.
func (m *Membership) registerAndCatchUp(ctx context.Context) error {
	if err := m.register(ctx); err != nil {
		return err
	}
	if err := m.Follower.CatchUp(ctx); err != nil {
		return err
	}
	m.registered.Store(true)
	return nil
}

func (m *Membership) register(ctx context.Context) error {
	data, err := json.Marshal(m.Member)
	if err != nil {
		return err
	}
	key := MemberKey(m.Region, m.Name)
	for {
		item, ok, err := m.Store.Get(ctx, key)
		if err != nil {
			return errors.Wrap(err, "read member: store")
		}
		if ok && string(item.Value) == string(data) {
			return nil
		}
		_, swapped, err := m.Store.CompareAndSwap(ctx, key, data, item.Version)
		if err != nil {
			return errors.Wrap(err, "write member: store")
		}
		if swapped {
			return nil
		}
	}
}

// joinThroughSponsor makes a peer the sponsor of this node and applies the log
// that the peer sends. The revision that it reports to the sponsor is not higher
// than those of the nodes that this node has itself adopted.
func (m *Membership) joinThroughSponsor(ctx context.Context) error {
	if m.Sponsors == nil {
		return errors.New("adopt: no peers")
	}
	sponsor, changes, cp, err := m.Sponsors.Adopt(ctx, m.Member, m.confirmedRevision())
	if err != nil {
		return errors.Wrap(err, "adopt")
	}
	if m.sponsors == nil {
		m.sponsors = make(map[string]bool)
	}
	m.sponsors[sponsor] = true
	return errors.Wrapf(m.Follower.Table.applyReceived(changes, cp), "adopt: %s", sponsor)
}

func (m *Membership) isSponsor() bool {
	return m.SponsoredNodes != nil && m.SponsoredNodes.HasAdopted()
}

func (m *Membership) confirmedRevision() uint64 {
	if m.SponsoredNodes != nil {
		return m.SponsoredNodes.Confirmed()
	}
	return m.Follower.Table.Revision()
}

// Run maintains the membership of a node that has joined. It returns ErrReplaced
// when another process has the name; this node must then no longer serve.
func (m *Membership) Run(ctx context.Context) error {
	for {
		pause := orDefault(m.CheckInterval, DefaultMemberCheckInterval)
		if !m.Registered() || len(m.sponsors) > 0 || m.isSponsor() {
			pause = m.adoptInterval()
		}
		if err := jwclock.Sleep(ctx, m.Follower.jitter(pause)); err != nil {
			return err
		}
		if m.isSponsor() {
			m.SponsoredNodes.RemoveEnded()
		}
		if err := m.maintain(ctx); errors.Is(err, ErrReplaced) {
			return err
		}
	}
}

func (m *Membership) maintain(ctx context.Context) error {
	if m.Registered() {
		if err := m.verifyRecord(ctx); err != nil {
			return err
		}
		return m.releaseSponsors(ctx)
	}
	if err := m.registerAndCatchUp(ctx); err != nil {
		return m.joinThroughSponsor(ctx)
	}
	return m.releaseSponsors(ctx)
}

// verifyRecord registers this node again if its record was deleted by mistake,
// because the host list did not contain the node while it was serving.
func (m *Membership) verifyRecord(ctx context.Context) error {
	item, ok, err := m.Store.Get(ctx, MemberKey(m.Region, m.Name))
	if err != nil {
		return errors.Wrap(err, "read member: store")
	}
	if !ok {
		return m.registerAndCatchUp(ctx)
	}
	stored, err := ParseMember(item.Value)
	if err != nil {
		return err
	}
	if stored.Incarnation != m.Incarnation {
		return errors.Wrapf(ErrReplaced, "member %s: incarnation %s", m.Name, stored.Incarnation)
	}
	return nil
}

// releaseSponsors makes the sponsors stop confirming on behalf of this node. It
// must be called after the log was read to its head: otherwise a change could be
// accepted that this node does not have.
func (m *Membership) releaseSponsors(ctx context.Context) error {
	for sponsor := range m.sponsors {
		if err := m.Sponsors.Release(ctx, sponsor, m.Member); err != nil {
			return errors.Wrapf(err, "release: %s", sponsor)
		}
		delete(m.sponsors, sponsor)
	}
	return nil
}

// Leave deletes the record of this node. Call it after Run has ended and the
// last request is answered. While this node is a sponsor, the record stays until
// the context ends; a record that is then left is deleted once the host is gone.
func (m *Membership) Leave(ctx context.Context) error {
	for m.isSponsor() {
		m.SponsoredNodes.RemoveEnded()
		if err := jwclock.Sleep(ctx, m.adoptInterval()); err != nil {
			return errors.Wrap(err, "leave: nodes without a record in the store depend on this one")
		}
	}
	if err := m.releaseSponsors(ctx); err != nil {
		return err
	}
	item, ok, err := m.Store.Get(ctx, MemberKey(m.Region, m.Name))
	if err != nil {
		return errors.Wrap(err, "leave: store")
	}
	stored, err := ParseMember(item.Value)
	if !ok || err != nil || stored.Incarnation != m.Incarnation {
		return nil
	}
	_, err = m.Store.Delete(ctx, item.Key, item.Version)
	return errors.Wrap(err, "leave: store")
}

func (m *Membership) adoptInterval() time.Duration {
	return orDefault(m.AdoptInterval, DefaultAdoptInterval)
}
