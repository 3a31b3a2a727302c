package jwdelta

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A peer that was restarted, or goes by an acknowledgement of this node's last run, must not make this
// node take changes for received that never came.
func TestMerge(t *testing.T) {
	cases := map[string]struct {
		received       uint64
		after, to, ack uint64
		want           Peer
	}{
		"the next changes":                       {10, 10, 15, 7, Peer{Received: 15, Acked: 7}},
		"changes that came before":               {10, 5, 15, 7, Peer{Received: 15, Acked: 7}},
		"changes with a gap before them":         {10, 12, 15, 7, Peer{Received: 10, Acked: 7}},
		"no changes":                             {10, 0, 0, 7, Peer{Received: 10, Acked: 7}},
		"the peer was restarted and began again": {10, 0, 3, 0, Peer{Received: 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := Peer{Received: c.received}
			p.Merge(c.after, c.to, c.ack)
			assert.Equal(t, p, c.want)
		})
	}
}

func TestExpire(t *testing.T) {
	t0 := time.Unix(1000, 0)
	var p Peers
	p.Get("a", t0).Received = 1
	p.Get("b", t0).Received = 1
	p.Get("b", t0.Add(time.Minute))
	p.Expire(t0.Add(time.Minute+time.Second), time.Minute)
	assert.Equal(t, p.Get("a", t0).Received, uint64(0))
	assert.Equal(t, p.Get("b", t0).Received, uint64(1))
}

// A node that restarts must not use numbers of its last run.
func TestNext(t *testing.T) {
	t0 := time.Unix(1000, 0)
	last := Next(0, t0)
	assert.Equal(t, Next(last, t0), last+1)
	assert.Assert(t, Next(0, t0.Add(time.Millisecond)) > last)
}
