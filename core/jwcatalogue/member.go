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

// MembersPrefix begins the keys of all member records.
const MembersPrefix = "catalogue/members/"

// Member is the record of a node whose confirmation every change waits for.
// A node of the same name that starts anew replaces the record.
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
		return errors.Errorf("member %q of region %q, incarnation %q: has an empty name", m.Name, m.Region, m.Incarnation)
	}
	if strings.Contains(m.Name+m.Region, "/") {
		return errors.Errorf("member %q of region %q: has a slash", m.Name, m.Region)
	}
	return nil
}

// ErrReplaced says that another process has started under this node's name.
var ErrReplaced = errors.New("another process has this node's name")

// Sponsors asks peers of the own region to answer for this node while the
// service cannot be reached.
type Sponsors interface {
	// Adopt has one serving peer call Adoptions.Adopt and returns its name
	// and what that gave.
	Adopt(ctx context.Context, m Member, after uint64) (sponsor string, changes []Change, cp *Checkpoint, err error)
	// Release has a peer call Adoptions.Release; nil when the peer is no
	// longer the process that adopted.
	Release(ctx context.Context, sponsor string, m Member) error
}

// The paces of a membership.
const (
	DefaultMemberCheckInterval = 30 * time.Second // between looks at the own record
	DefaultAdoptInterval       = 500 * time.Millisecond
)

// Membership makes this node one whose confirmation changes wait for, before
// it serves, and takes it out again after its last request.
type Membership struct {
	Member
	Store     jwstore.Store
	Follower  *Follower
	Sponsors  Sponsors   // nil for none
	Adoptions *Adoptions // those this node answers for

	CheckInterval, AdoptInterval time.Duration // 0 for the defaults

	registered atomic.Bool
	sponsors   map[string]bool // peers that may answer for this node
}

// Registered reports whether the service has the record of this process.
func (m *Membership) Registered() bool { return m.registered.Load() }

// Join returns when this node may serve: its record stands in the service and
// the log was read to its head afterwards, or a peer that serves answers for
// it and has given it the log.
//
// The order is what makes an accepted change hold here: the record comes
// first, so that a change whose gatherer did not see the record was in the log
// before the head was read.
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

// enter registers this node and then reads the head of the log.
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
		_, swapped, err := m.Store.Swap(ctx, key, data, item.Version)
		if err != nil {
			return errors.Wrap(err, "write member: store")
		}
		if swapped {
			return nil
		}
	}
}

// adopted has a peer answer for this node and takes its log. What this node
// answers for itself is not more than what those that it adopted have.
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

func (m *Membership) isSponsor() bool { return m.Adoptions != nil && m.Adoptions.HasAdopted() }

func (m *Membership) confirmedRevision() uint64 {
	if m.Adoptions != nil {
		return m.Adoptions.Confirmed()
	}
	return m.Follower.Table.Revision()
}

// Run keeps the membership of a node that has joined. It ends with ErrReplaced
// when another process has the name, which then must not serve any longer.
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
			m.Adoptions.RemoveEnded()
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

// verify enters again after this node was counted out by mistake: the host
// list dropped it while it was serving.
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

// release tells the sponsors that they need not answer any more. It comes
// after the head was read, or a change could be accepted in between.
func (m *Membership) releaseSponsors(ctx context.Context) error {
	for sponsor := range m.sponsors {
		if err := m.Sponsors.Release(ctx, sponsor, m.Member); err != nil {
			return errors.Wrapf(err, "release: %s", sponsor)
		}
		delete(m.sponsors, sponsor)
	}
	return nil
}

// Leave takes the record back; call it after Run has ended and the last
// request is answered. While others depend on this node's answers, the record
// stays until the context ends; what is then left is counted out with the host.
func (m *Membership) Leave(ctx context.Context) error {
	for m.isSponsor() {
		m.Adoptions.RemoveEnded()
		if err := jwclock.Sleep(ctx, m.adoptInterval()); err != nil {
			return errors.Wrap(err, "leave: nodes without a record depend on this one")
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
