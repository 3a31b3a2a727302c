package jwobserver

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwboard"
	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwhost"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwmeter"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeStore is a Store that returns the counts in calls.
type fakeStore struct{ calls jwstore.Calls }

func (s *fakeStore) Calls() jwstore.Calls { return s.calls }

func newObserver() (*Observer, *fakeStore) {
	s := &fakeStore{}
	o := &Observer{
		Node: "n1", Region: "north", Regions: []string{"north", "south"}, Board: &jwboard.Board{},
		Meter: &jwmeter.Meter{Interval: time.Hour}, Audit: &jwaudit.Trail{Node: "n1"},
		RegionTimeout: 15 * time.Second, MaxListAge: 30 * time.Second, Store: s,
	}
	o.Board.Peers.SetSelf(jwpeer.Peer{Name: "n1", Region: "north", State: jwpeer.Serving}, start)
	return o, s
}

// newRecords returns the records since the last call as "subject from>to".
func newRecords(o *Observer, after *uint64) []string {
	out := []string{}
	for _, r := range o.Audit.After(*after, 100) {
		out = append(out, fmt.Sprintf("%s %s>%s", r.Subject, r.From, r.To))
		*after = r.Sequence
	}
	return out
}

func peer(name, region string, state jwpeer.State, sequence uint64) jwpeer.Peer {
	return jwpeer.Peer{Name: name, Region: region, State: state, Sequence: sequence, Incarnation: "i"}
}

func TestPeersAndRegions(t *testing.T) {
	// Another node leaves, and later no messages from a whole region arrive. The
	// audit trail must show both, once each.
	o, _ := newObserver()
	var seen uint64
	o.observe(start)
	o.Board.Peers.Merge([]jwpeer.Peer{
		peer("n2", "north", jwpeer.Serving, 1), peer("s1", "south", jwpeer.Serving, 1),
	}, start)
	o.observe(start)
	assert.DeepEqual(t, newRecords(o, &seen), []string{"n2 >serving"})
	o.Board.Peers.Merge([]jwpeer.Peer{
		peer("n2", "north", jwpeer.Leaving, 2), peer("s1", "south", jwpeer.Leaving, 2),
	}, start)
	o.observe(start)
	assert.DeepEqual(t, newRecords(o, &seen), []string{"n2 serving>leaving"})
	for range 2 {
		o.observe(start.Add(time.Minute))
	}
	assert.DeepEqual(t, newRecords(o, &seen), []string{"south reachable>lost"})
	o.Board.Peers.Merge([]jwpeer.Peer{peer("s1", "south", jwpeer.Serving, 3)}, start.Add(time.Minute))
	o.observe(start.Add(time.Minute))
	assert.DeepEqual(t, newRecords(o, &seen), []string{"south lost>reachable"})
	o.Board.Peers.Forget(start.Add(time.Second))
	o.observe(start.Add(time.Minute))
	assert.DeepEqual(t, newRecords(o, &seen), []string{"n2 leaving>forgotten"})
}

func TestTargets(t *testing.T) {
	o, _ := newObserver()
	o.Board.Targets.Region = "north"
	var seen uint64
	o.observe(start)
	target := jwtarget.Target{
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "desk", Region: "north", State: jwtarget.Live,
	}
	o.Board.Targets.Set([]jwtarget.Target{target}, start)
	o.observe(start)
	o.Board.Targets.Failed(target.Address, start)
	o.observe(start)
	o.Board.Targets.Set(nil, start)
	o.observe(start)
	assert.DeepEqual(t, newRecords(o, &seen), []string{
		"10.0.0.1:80 >live", "10.0.0.1:80 live>failed", "10.0.0.1:80 failed>unlisted",
	})
}

func TestPlatform(t *testing.T) {
	// The key-value service goes down and the host list is no longer renewed.
	// Serving goes on, so only the trail and the gauges show it.
	o, s := newObserver()
	var seen uint64
	o.Board.Hosts.Set([]jwhost.Host{}, start)
	s.calls = jwstore.Calls{Reads: 3}
	o.observe(start)
	assert.DeepEqual(t, newRecords(o, &seen), []string{})
	s.calls = jwstore.Calls{Reads: 5, Failures: 2}
	o.observe(start.Add(time.Minute))
	assert.DeepEqual(t, newRecords(o, &seen), []string{"hosts answering>failing", "keyValue answering>failing"})
	o.observe(start.Add(time.Minute)) // without calls, the state is unchanged
	s.calls.Reads++
	o.Board.Hosts.Set([]jwhost.Host{}, start.Add(time.Minute))
	o.observe(start.Add(time.Minute))
	assert.DeepEqual(t, newRecords(o, &seen), []string{"hosts failing>answering", "keyValue failing>answering"})
}

func TestCatalogue(t *testing.T) {
	o, _ := newObserver()
	for n := uint64(1); n <= 2; n++ {
		assert.NilError(t, o.Board.Catalogue.Apply(jwcatalogue.Change{
			N: n, EditID: fmt.Sprint(n), Author: "amal", Reason: "r", Entry: "menu", After: &jwcatalogue.Entry{Name: "menu"},
		}))
	}
	o.observe(start)
	records := o.Audit.After(0, 10)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[1].Revision, uint64(2))
	assert.Equal(t, records[1].Author, "amal")
	assert.NilError(t, o.Board.Catalogue.Restore(jwcatalogue.Checkpoint{Revision: 500}))
	o.observe(start)
	o.observe(start)
	records = o.Audit.After(2, 10)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Revision, uint64(500))
}

func TestGauges(t *testing.T) {
	o, s := newObserver()
	o.Board.Peers.Merge([]jwpeer.Peer{peer("n2", "north", jwpeer.Serving, 1)}, start)
	s.calls = jwstore.Calls{Reads: 7, Failures: 1}
	o.observe(start)
	o.Board.Peers.Merge([]jwpeer.Peer{peer("n2", "north", jwpeer.Leaving, 2)}, start)
	s.calls.Reads = 9
	o.observe(start)
	assert.NilError(t, o.Meter.Close())
	assert.Equal(t, o.Meter.Total("peers", jwmeter.Tags{"state": "serving"}), 1.0)
	assert.Equal(t, o.Meter.Total("peers", jwmeter.Tags{"state": "leaving"}), 1.0)
	assert.Equal(t, o.Meter.Total("store_calls_total", jwmeter.Tags{"kind": "read"}), 9.0)
	assert.Equal(t, o.Meter.Total("store_calls_total", jwmeter.Tags{"kind": "failed"}), 1.0)
}

// BenchmarkLook measures one observation of a fleet of 970 nodes in 13 regions.
func BenchmarkLook(b *testing.B) {
	o, _ := newObserver()
	var peers []jwpeer.Peer
	for i := range 970 {
		peers = append(peers, peer(fmt.Sprint("p", i), fmt.Sprint("r", i%13), jwpeer.Serving, 1))
	}
	o.Board.Peers.Merge(peers, start)
	for b.Loop() {
		o.observe(start)
	}
}
