package jwforward

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwwire"
)

// A request ran on a target that crashed for another reason, and was then served
// by another target. If the notice that it is harmless is lost on the wire, the
// other nodes go on rejecting the request.
func TestSuspectsOnTheWire(t *testing.T) {
	target := netip.MustParseAddrPort("10.0.0.1:80")
	fingerprint := []byte("0123456789abcdef")
	tests := map[string]jwpeer.Suspect{
		"crash": {Fingerprint: fingerprint, Target: target, Age: time.Second, State: "suspected"},
		"clear": {Fingerprint: fingerprint, Age: time.Second, State: "clear"},
		"bound": {Fingerprint: fingerprint, Target: target, Region: "east", State: "suspected"},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			digest := jwpeer.Digest{From: "n1", News: jwpeer.News{Suspects: []jwpeer.Suspect{s}}}
			got := digestFromWire(digestToWire(digest))
			assert.Assert(t, reflect.DeepEqual(got.News.Suspects, digest.News.Suspects), "%+v", got.News.Suspects)
		})
	}
}

// A node with a wrong clock or another fault sends ages that are negative, or so
// large that they overflow. If they were accepted, its load report would count
// as the newest forever, and all requests would be sent to the region it names.
func TestMicrosOutOfRange(t *testing.T) {
	tests := map[string]struct {
		micros int64
		want   time.Duration
	}{
		"none":         {0, 0},
		"one second":   {1_000_000, time.Second},
		"future":       {-5, 0},
		"overflow":     {1 << 62, time.Duration(maxMicros) * time.Microsecond},
		"far overflow": {-1 << 63, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, micros(tc.micros), tc.want) })
	}
}

func FuzzDigest(f *testing.F) {
	full := &jwwire.Digest{
		Node:     "n1",
		Peers:    []*jwwire.PeerState{{Node: "n2", CallerAddress: "10.0.0.1:1", NodeAddress: "10.0.0.1:2", AgeMicros: -1}},
		Leaving:  []*jwwire.LeavingTarget{{Address: "10.0.0.1:3", AgeMicros: 1 << 62}},
		Suspects: []*jwwire.Suspect{{Target: "x"}, {State: "clear"}},
		Loads:    []*jwwire.RegionLoad{{Region: "east", Slots: 1 << 63, AgeMicros: -7}},
	}
	seed, err := proto.Marshal(full)
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &jwwire.Digest{}
		if proto.Unmarshal(data, d) != nil {
			return
		}
		digest := digestFromWire(d)
		for _, p := range digest.Peers {
			assert.Assert(t, p.Age >= 0 && p.NodeAddress.IsValid() && p.CallerAddress.IsValid(), "%+v", p)
		}
		for _, l := range digest.News.Loads {
			assert.Assert(t, l.Age >= 0 && l.Wait >= 0 && l.CallTime >= 0, "%+v", l)
		}
		for _, l := range digest.News.Leaving {
			assert.Assert(t, l.Age >= 0, "%+v", l)
		}
		wire := digestToWire(digest)
		assert.Assert(t, proto.Equal(digestToWire(digestFromWire(wire)), wire), "%+v", digest)
	})
}

// FuzzHead checks request and answer heads with any content, including the hop
// record: the receiver must be able to evaluate whatever hops it gets.
func FuzzHead(f *testing.F) {
	seed, err := proto.Marshal(&jwwire.RequestHead{
		RequestId: "r", TimeoutMicros: -1, Hops: []*jwwire.Hop{{Node: "a", Region: "east"}, {}, {Node: "b", Region: "west"}},
	})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{})
	now := time.Unix(1000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		h := &jwwire.RequestHead{}
		if proto.Unmarshal(data, h) == nil {
			r := requestFromWire(h, now)
			assert.Assert(t, !r.Deadline.Before(now), "%v", r.Deadline)
			assert.Equal(t, len(r.Hops), len(h.GetHops()))
			for _, hop := range r.Hops {
				assert.Assert(t, r.Hops.Visited(hop.Node))
			}
			more := r.Hops.With(jwrequest.Hop{Node: "self", Region: "self"})
			assert.Equal(t, len(more), len(r.Hops)+1)
			_, _ = more.RegionChanges(), more.RevisitsDataCentre()
		}
		a := &jwwire.AnswerHead{}
		if proto.Unmarshal(data, a) == nil {
			assert.Assert(t, headFromWire(a).RetryAfter >= 0)
		}
	})
}
