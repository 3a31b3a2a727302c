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
const DefaultPollInterval = 250 * time.Millisecond

// membersAgain is the pace at which Wait reads the members again.
const membersReadInterval = 2 * time.Second

// Acceptance finds out which revisions are accepted. Once it has said so of a
// revision, it never says otherwise, at no node.
type Acceptance struct {
	Store        jwstore.Store
	PollInterval time.Duration // 0 for DefaultPollEvery

	highestAccepted atomic.Uint64
}

// Check looks at the confirmations of a revision that is in the log.
func (a *Acceptance) Check(ctx context.Context, n uint64) (Status, error) {
	return a.check(ctx, &query{revision: n})
}

// question is a revision that is asked about again and again.
type query struct {
	revision        uint64
	members         map[string][]string // by region, read after the change was made
	membersReadAt   time.Time
	acceptedVersion uint64 // of the accepted revision in the service
}

func (a *Acceptance) check(ctx context.Context, q *query) (Status, error) {
	s := Status{Revision: q.revision}
	// The members of any moment after the change will do: whoever registers
	// later reads a head that has it. They are read again for those that left.
	if q.members == nil || time.Since(q.membersReadAt) > membersReadInterval {
		accepted, version, err := a.readAccepted(ctx, q.revision)
		if err != nil || accepted >= q.revision {
			s.Accepted = err == nil
			return s, err
		}
		members, err := a.readMembers(ctx)
		if err != nil {
			return s, err
		}
		q.members, q.membersReadAt, q.acceptedVersion = members, time.Now(), version
	}
	confirmed, err := a.readConfirmations(ctx)
	if err != nil {
		return s, err
	}
	s = evaluateAcceptance(q.revision, q.members, confirmed)
	if !s.Accepted {
		return s, nil
	}
	// The word is given only after it is kept: a node that registers later,
	// in a region without a confirmation, would make it untrue otherwise.
	if err := a.writeAccepted(ctx, q.revision, q.acceptedVersion); err != nil {
		return Status{Revision: q.revision}, err
	}
	return s, nil
}

// Wait returns when a revision is accepted or the context ends, with the
// names that were then missing. The error is that of the last look at the
// service, if it failed for another reason than the end of the context.
func (a *Acceptance) Wait(ctx context.Context, n uint64) (Status, error) {
	last := Status{Revision: n}
	lastErr := errors.Errorf("acceptance of %d: the context ended before the first look", n)
	q := &query{revision: n}
	for {
		s, err := a.check(ctx, q)
		switch {
		case err == nil:
			last, lastErr = s, nil
		case ctx.Err() == nil:
			lastErr = err
		}
		if last.Accepted {
			return last, nil
		}
		if jwclock.Sleep(ctx, orDefault(a.PollInterval, DefaultPollInterval)) != nil {
			return last, lastErr
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
func evaluateAcceptance(n uint64, members map[string][]string, confirmed map[string]RegionConfirmation) Status {
	s := Status{Revision: n}
	for _, region := range slices.Sorted(maps.Keys(members)) {
		c := confirmed[region]
		switch {
		case c.Revision >= n:
		case c.Seen >= n && len(c.Lagging) > 0:
			s.Missing = append(s.Missing, Missing{Region: region, Names: c.Lagging})
		default:
			s.Missing = append(s.Missing, Missing{Region: region, Names: members[region]})
		}
	}
	s.Accepted = len(members) > 0 && len(s.Missing) == 0
	return s
}

func (a *Acceptance) readMembers(ctx context.Context) (map[string][]string, error) {
	items, err := a.Store.List(ctx, MembersPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list members: store")
	}
	members := make(map[string][]string)
	for _, item := range items {
		region, name := splitMemberKey(item.Key)
		members[region] = append(members[region], name)
	}
	return members, nil
}

func (a *Acceptance) readConfirmations(ctx context.Context) (map[string]RegionConfirmation, error) {
	items, err := a.Store.List(ctx, ConfirmedPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list confirmations: store")
	}
	confirmed := make(map[string]RegionConfirmation, len(items))
	for _, item := range items {
		c, err := ParseRegionConfirmation(item.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s: store", item.Key)
		}
		confirmed[strings.TrimPrefix(item.Key, ConfirmedPrefix)] = c
	}
	return confirmed, nil
}

type acceptedRecord struct {
	Revision uint64 `json:"revision"`
}

// accepted returns the highest revision known to be accepted; it asks the
// service only when n is above what this node knows.
func (a *Acceptance) readAccepted(ctx context.Context, n uint64) (revision, version uint64, err error) {
	if highest := a.highestAccepted.Load(); highest >= n {
		return highest, 0, nil
	}
	item, ok, err := a.Store.Get(ctx, AcceptedKey)
	if err != nil {
		return 0, 0, errors.Wrap(err, "read accepted: store")
	}
	if !ok {
		return 0, 0, nil
	}
	var record acceptedRecord
	if err := decodeRecord(item.Value, &record); err != nil {
		return 0, 0, errors.Wrap(err, "read accepted: store")
	}
	a.raiseHighestAccepted(record.Revision)
	return record.Revision, item.Version, nil
}

func (a *Acceptance) raiseHighestAccepted(n uint64) {
	for {
		current := a.highestAccepted.Load()
		if current >= n || a.highestAccepted.CompareAndSwap(current, n) {
			return
		}
	}
}

// keep writes the accepted revision and never lowers it.
func (a *Acceptance) writeAccepted(ctx context.Context, n, version uint64) error {
	data, err := json.Marshal(acceptedRecord{Revision: n})
	if err != nil {
		return err
	}
	for {
		_, swapped, err := a.Store.Swap(ctx, AcceptedKey, data, version)
		if err != nil {
			return errors.Wrap(err, "write accepted: store")
		}
		if swapped {
			a.raiseHighestAccepted(n)
			return nil
		}
		revision, currentVersion, err := a.readAccepted(ctx, n)
		if err != nil || revision >= n {
			return err
		}
		version = currentVersion
	}
}
