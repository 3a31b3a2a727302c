package jwcatalogue

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwclock"
	"jujubewheel/core/jwstore"
)

// AcceptedKey holds the highest revision that was found in force everywhere.
const AcceptedKey = "catalogue/accepted"

// Status reports whether a revision is in force at every node that may serve.
type Status struct {
	Revision uint64
	Accepted bool
	Missing  []Missing // sorted by region, empty when accepted
}

// Missing names the members of a region that have not confirmed a revision.
type Missing struct {
	Region string   `json:"region"`
	Names  []string `json:"names"`
}

// DefaultPollEvery is the pace at which Wait looks at the confirmations.
const DefaultPollEvery = 250 * time.Millisecond

// membersAgain is the pace at which Wait reads the members again.
const membersAgain = 2 * time.Second

// Acceptance finds out which revisions are accepted. Once it has said so of a
// revision, it never says otherwise, at no node.
type Acceptance struct {
	Store     jwstore.Store
	PollEvery time.Duration // 0 for DefaultPollEvery

	known atomic.Uint64
}

// Check looks at the confirmations of a revision that is in the log.
func (a *Acceptance) Check(ctx context.Context, n uint64) (Status, error) {
	return a.check(ctx, &question{n: n})
}

// question is a revision that is asked about again and again.
type question struct {
	n       uint64
	members map[string][]string // by region, read after the change was made
	readAt  time.Time
	version uint64 // of the accepted revision in the service
}

func (a *Acceptance) check(ctx context.Context, q *question) (Status, error) {
	s := Status{Revision: q.n}
	// The members of any moment after the change will do: whoever registers
	// later reads a head that has it. They are read again for those that left.
	if q.members == nil || time.Since(q.readAt) > membersAgain {
		accepted, version, err := a.accepted(ctx, q.n)
		if err != nil || accepted >= q.n {
			s.Accepted = err == nil
			return s, err
		}
		members, err := a.members(ctx)
		if err != nil {
			return s, err
		}
		q.members, q.readAt, q.version = members, time.Now(), version
	}
	confirmed, err := a.confirmations(ctx)
	if err != nil {
		return s, err
	}
	s = judge(q.n, q.members, confirmed)
	if !s.Accepted {
		return s, nil
	}
	// The word is given only after it is kept: a node that registers later,
	// in a region without a confirmation, would make it untrue otherwise.
	if err := a.keep(ctx, q.n, q.version); err != nil {
		return Status{Revision: q.n}, err
	}
	return s, nil
}

// Wait returns when a revision is accepted or the context ends, with the
// names that were then missing. The error is that of the last look at the
// service, if it failed for another reason than the end of the context.
func (a *Acceptance) Wait(ctx context.Context, n uint64) (Status, error) {
	last := Status{Revision: n}
	failed := errors.Errorf("acceptance of %d: the context ended before the first look", n)
	q := &question{n: n}
	for {
		s, err := a.check(ctx, q)
		switch {
		case err == nil:
			last, failed = s, nil
		case ctx.Err() == nil:
			failed = err
		}
		if last.Accepted {
			return last, nil
		}
		if jwclock.Sleep(ctx, or(a.PollEvery, DefaultPollEvery)) != nil {
			return last, failed
		}
	}
}

// Forget removes the record of a node on an operator's word that it will not
// serve again: the only way out when the last node of a region has gone, since
// a whole region that is silent may well be serving behind a cut.
func (a *Acceptance) Forget(ctx context.Context, region, name string) error {
	item, ok, err := a.Store.Get(ctx, MemberKey(region, name))
	if err != nil || !ok {
		return errors.Wrapf(err, "forget %s: store", name)
	}
	_, err = a.Store.Delete(ctx, item.Key, item.Version)
	return errors.Wrapf(err, "forget %s: store", name)
}

// judge decides whether a revision is in force in every region that has
// members; without any member there is nobody to say so.
func judge(n uint64, members map[string][]string, confirmed map[string]RegionConfirmed) Status {
	s := Status{Revision: n}
	for _, region := range slices.Sorted(maps.Keys(members)) {
		c := confirmed[region]
		switch {
		case c.Revision >= n:
		case c.Seen >= n && len(c.Laggards) > 0:
			s.Missing = append(s.Missing, Missing{Region: region, Names: c.Laggards})
		default:
			s.Missing = append(s.Missing, Missing{Region: region, Names: members[region]})
		}
	}
	s.Accepted = len(members) > 0 && len(s.Missing) == 0
	return s
}

func (a *Acceptance) members(ctx context.Context) (map[string][]string, error) {
	items, err := a.Store.List(ctx, MembersPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list members: store")
	}
	members := make(map[string][]string)
	for _, item := range items {
		region, name := regionOf(item.Key)
		members[region] = append(members[region], name)
	}
	return members, nil
}

func (a *Acceptance) confirmations(ctx context.Context) (map[string]RegionConfirmed, error) {
	items, err := a.Store.List(ctx, ConfirmedPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list confirmations: store")
	}
	confirmed := make(map[string]RegionConfirmed, len(items))
	for _, item := range items {
		c, err := ParseRegionConfirmed(item.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s: store", item.Key)
		}
		confirmed[strings.TrimPrefix(item.Key, ConfirmedPrefix)] = c
	}
	return confirmed, nil
}

type acceptedJSON struct {
	Revision uint64 `json:"revision"`
}

// accepted returns the highest revision known to be accepted; it asks the
// service only when n is above what this node knows.
func (a *Acceptance) accepted(ctx context.Context, n uint64) (revision, version uint64, err error) {
	if known := a.known.Load(); known >= n {
		return known, 0, nil
	}
	item, ok, err := a.Store.Get(ctx, AcceptedKey)
	if err != nil {
		return 0, 0, errors.Wrap(err, "read accepted: store")
	}
	if !ok {
		return 0, 0, nil
	}
	var j acceptedJSON
	if err := decodeRecord(item.Value, &j); err != nil {
		return 0, 0, errors.Wrap(err, "read accepted: store")
	}
	a.learn(j.Revision)
	return j.Revision, item.Version, nil
}

func (a *Acceptance) learn(n uint64) {
	for {
		known := a.known.Load()
		if known >= n || a.known.CompareAndSwap(known, n) {
			return
		}
	}
}

// keep writes the accepted revision and never lowers it.
func (a *Acceptance) keep(ctx context.Context, n, version uint64) error {
	data, err := json.Marshal(acceptedJSON{Revision: n})
	if err != nil {
		return err
	}
	for {
		_, swapped, err := a.Store.Swap(ctx, AcceptedKey, data, version)
		if err != nil {
			return errors.Wrap(err, "write accepted: store")
		}
		if swapped {
			a.learn(n)
			return nil
		}
		revision, next, err := a.accepted(ctx, n)
		if err != nil || revision >= n {
			return err
		}
		version = next
	}
}
