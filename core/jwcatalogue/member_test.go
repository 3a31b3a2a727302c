package jwcatalogue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

func newMembership(s jwstore.Store, name, incarnation string) *Membership {
	return &Membership{
		Member: Member{Name: name, Region: "north", Incarnation: incarnation}, Store: s,
		Follower: &Follower{Store: s, Table: new(Table)},
	}
}

func TestRejoinAfterRecordDeleted(t *testing.T) {
	// The host list did not contain a node that serves, and its record was
	// deleted. The node must register again by itself and get the changes that
	// were accepted in that time.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := new(fakeStore)
		m := newMembership(s, "n0", "a")
		assert.NilError(t, m.Join(ctx))
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		assert.NilError(t, (&Acceptance{Store: s}).Forget(ctx, "north", "n0"))
		_, err := newEditor(s).Put(ctx, newEdit("e1", "status", 0))
		assert.NilError(t, err)
		assert.Equal(t, len(s.keys(MembersPrefix)), 0)
		time.Sleep(2 * DefaultMemberCheckInterval)
		assert.Equal(t, len(s.keys(MembersPrefix)), 1)
		assert.Equal(t, m.Follower.Table.Revision(), uint64(1))
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		assert.NilError(t, m.Leave(t.Context()))
		assert.Equal(t, len(s.keys(MembersPrefix)), 0)
	})
}

func TestReplaced(t *testing.T) {
	// A process was paused, its host replaced and another process started under
	// its name. When the first one resumes, it must stop and must not delete the
	// record of the other.
	synctest.Test(t, func(t *testing.T) {
		s := new(fakeStore)
		old, replacement := newMembership(s, "n0", "a"), newMembership(s, "n0", "b")
		assert.NilError(t, old.Join(t.Context()))
		assert.NilError(t, replacement.Join(t.Context()))
		assert.ErrorIs(t, old.Run(t.Context()), ErrReplaced)
		assert.NilError(t, old.Leave(t.Context()))
		assert.Equal(t, len(s.keys(MembersPrefix)), 1)
	})
}

func TestJoinWaitsForStore(t *testing.T) {
	// A node starts while the store is down and no peer can be reached. If it
	// served with an empty catalogue, it would reject every caller.
	synctest.Test(t, func(t *testing.T) {
		s := new(fakeStore)
		s.setDown(true)
		m := newMembership(s, "n0", "a")
		done := make(chan error)
		go func() { done <- m.Join(t.Context()) }()
		time.Sleep(time.Minute)
		select {
		case <-done:
			t.Fatal("joined without the log")
		default:
		}
		s.setDown(false)
		assert.NilError(t, <-done)
		assert.Assert(t, m.Registered())
	})
}

func TestAdoptRejectedWhenNotServing(t *testing.T) {
	a := &SponsoredNodes{Table: new(Table), Serving: func() bool { return false }}
	_, _, err := a.Adopt(Member{Name: "n1", Region: "north", Incarnation: "b"}, 0)
	assert.ErrorIs(t, err, ErrNotServing)
	assert.Assert(t, !a.HasAdopted())
}

func TestWaitReportsMissingMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(fakeStore)
		assert.NilError(t, newMembership(s, "n0", "a").Join(t.Context()))
		res, err := newEditor(s).Put(t.Context(), newEdit("e1", "status", 0))
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		status, err := (&Acceptance{Store: s}).Wait(ctx, res.Revision)
		assert.NilError(t, err)
		assert.DeepEqual(t, status, Status{Revision: 1, Missing: []Missing{{Region: "north", Names: []string{"n0"}}}})
	})
}
