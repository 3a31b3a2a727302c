package jwpeer

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The digest with a node's new state is lost, and a heartbeat of the node arrives before the state is
// sent again. If the receiver took the heartbeat's sequence for the old state, it would ignore the
// new one and keep a serving node as joining.
func TestHeartbeatOvertakesLostState(t *testing.T) {
	now := time.Now()
	joining := Peer{Name: "n1", Region: "r", DataCentre: "r-1", Incarnation: "i", State: Joining, Sequence: 1}
	var sender, receiver Table
	sender.SetSelf(joining, now)
	receiver.SetSelf(Peer{Name: "n2", Region: "r", DataCentre: "r-1", Incarnation: "i", State: Serving, Sequence: 1}, now)
	assert.Assert(t, receiver.receive("n1", []Peer{joining}, nil, now))
	sender.Update(now, func(p *Peer) { p.State = Serving })
	to := recipient{name: "n2", region: "r", gatherer: true, remoteDue: true}
	lost := sender.deltaFor(to, now)
	assert.Equal(t, len(lost.peers), 1)
	sender.Update(now, func(*Peer) {})
	to.sentVersion, to.remoteSentVersion = lost.version, lost.version
	next := sender.deltaFor(to, now)
	assert.Equal(t, len(next.updates), 1)
	assert.Assert(t, !receiver.receive("n1", next.peers, next.updates, now), "the receiver must ask for the complete state")
	to.sentVersion, to.remoteSentVersion = 0, 0
	again := sender.deltaFor(to, now)
	assert.Assert(t, receiver.receive("n1", again.peers, again.updates, now))
	got, _ := receiver.Get("n1")
	assert.Equal(t, got.State, Serving)
	assert.Equal(t, got.Sequence, uint64(3))
}

// Each field of a state is either carried by an update or part of its ID.
func TestUpdateIDCoversTheState(t *testing.T) {
	carried := map[string]bool{"Revision": true, "OldestChange": true, "Sequence": true, "Age": true}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Peer]()) {
		var p Peer
		switch v := reflect.ValueOf(&p).Elem().FieldByIndex(field.Index); v.Interface().(type) {
		case netip.AddrPort:
			v.Set(reflect.ValueOf(netip.MustParseAddrPort("10.0.0.1:1")))
		default:
			if v.Kind() == reflect.String {
				v.SetString("x")
				break
			}
			if v.CanInt() {
				v.SetInt(1)
				break
			}
			v.SetUint(1)
		}
		assert.Equal(t, hashUpdateID(p) != hashUpdateID(Peer{}), !carried[field.Name], field.Name)
		assert.Equal(t, equalExceptUpdate(p, Peer{}), carried[field.Name], field.Name)
	}
}
