package jwdelta

import "time"

// Peer is how far the exchange with another node is.
type Peer struct {
	Received uint64 // number up to which this node has the peer's changes
	Acked    uint64 // number up to which the peer has this node's changes
	seen     time.Time
}

// Merge records what an update of the peer says: it holds the peer's changes after a number up to another
// one, 0 if there are none, and confirms this node's up to ack.
func (p *Peer) Merge(after, to, ack uint64) {
	p.Acked = ack
	// If this node was restarted, the peer may still go by an ack of its last run.
	if to > 0 && after <= p.Received {
		p.Received = to
	}
}

// Peers holds the peers of a node by name. The zero value is empty. It is not safe for concurrent use.
type Peers struct{ byName map[string]*Peer }

// Get returns a peer, and adds it if it is not known.
func (p *Peers) Get(name string, now time.Time) *Peer {
	x := p.byName[name]
	if x == nil {
		if p.byName == nil {
			p.byName = make(map[string]*Peer)
		}
		x = &Peer{}
		p.byName[name] = x
	}
	x.seen = now
	return x
}

// Expire removes the peers that were not seen for longer than age.
func (p *Peers) Expire(now time.Time, age time.Duration) {
	for name, x := range p.byName {
		if now.Sub(x.seen) > age {
			delete(p.byName, name)
		}
	}
}

// Next returns the number of the change after the last one. The first number is taken from the time, so
// that a node that restarts doesn't use those of its last run again.
func Next(last uint64, now time.Time) uint64 {
	if last == 0 {
		last = uint64(now.UnixNano())
	}
	return last + 1
}
