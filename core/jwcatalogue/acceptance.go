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

// AcceptedKey is the key of the highest accepted revision.
const AcceptedKey = "catalogue/accepted"

// Status reports whether a revision is applied at every node that may serve.
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

// DefaultPollInterval is the default pause between two checks of Wait.
const DefaultPollInterval = 250 * time.Millisecond

// membersReadInterval is how often Wait reads the members again.
const membersReadInterval = 2 * time.Second

// Acceptance determines which revisions are accepted. A revision that was
// reported as accepted is never reported otherwise, by any node.
type Acceptance struct {
	Store        jwstore.Store
	PollInterval time.Duration // pause between two checks of Wait, 0 for DefaultPollInterval

	highestAccepted atomic.Uint64
}

// Check reports whether a revision that is in the log is accepted.
func (a *Acceptance) Check(ctx context.Context, n uint64) (Status, error) {
	return a.check(ctx, &query{revision: n})
}

// query keeps what is known about a revision between repeated checks.
type query struct {
	revision        uint64
	members         map[string][]string // by region, read after the change was made
	membersReadAt   time.Time
	acceptedVersion uint64 // version of the accepted revision in the store
}

func (a *Acceptance) check(ctx context.Context, q *query) (Status, error) {
	s := Status{Revision: q.revision}
	// Members read at any moment after the change will do: a node that
	// registers later reads a log that includes the change. They are read
	// again so that nodes that have left are no longer waited for.
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
	// Acceptance is reported only after it is stored. Otherwise a node that
	// registers later, in a region without a confirmation, would make the
	// next check report the revision as not accepted.
	if err := a.writeAccepted(ctx, q.revision, q.acceptedVersion); err != nil {
		return Status{Revision: q.revision}, err
	}
	return s, nil
}

// Wait returns when a revision is accepted or the context ends. The status
// names the members that were missing at the last successful check. The error
// is that of the last check, unless that check failed because the context ended.
func (a *Acceptance) Wait(ctx context.Context, n uint64) (Status, error) {
	last := Status{Revision: n}
	lastErr := errors.Errorf("acceptance of %d: the context ended before the first check", n)
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

// Forget removes the record of a node after an operator has asserted that it
// will not serve again. When the last node of a region has gone, this is the
// only way to get later changes accepted: a region whose nodes are all silent
// may still be serving behind a network partition.
func (a *Acceptance) Forget(ctx context.Context, region, name string) error {
	item, ok, err := a.Store.Get(ctx, MemberKey(region, name))
	if err != nil || !ok {
		return errors.Wrapf(err, "forget %s: store", name)
	}
	_, err = a.Store.Delete(ctx, item.Key, item.Version)
	return errors.Wrapf(err, "forget %s: store", name)
}

// evaluateAcceptance reports a revision as accepted if every region that has
// members has confirmed it. Without any member, no revision is accepted.
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

// readAccepted returns the highest accepted revision. It reads the store only
// when n is above the highest revision that this node knows to be accepted.
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

// writeAccepted stores the accepted revision and never lowers it.
func (a *Acceptance) writeAccepted(ctx context.Context, n, version uint64) error {
	data, err := json.Marshal(acceptedRecord{Revision: n})
	if err != nil {
		return err
	}
	for {
		_, swapped, err := a.Store.CompareAndSwap(ctx, AcceptedKey, data, version)
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
