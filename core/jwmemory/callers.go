package jwmemory

import (
	"sync"
	"time"
)

// Phase is what a caller's connection is at.
type Phase string

// The phases of a connection.
const (
	Idle      Phase = "idle"      // between two requests, or before the first one
	Receiving Phase = "receiving" // the head or the body of its request has not come completely
	Serving   Phase = "serving"   // its request has come
	Writing   Phase = "writing"   // part of the answer is being written
)

// callersShare is the share of the process's memory that Callers may hold.
const callersShare = 0.25

// MinStuck is how long a request must have been incomplete, or an answer have waited to be read, for its connection to
// be given up. Ordinary callers take less.
const MinStuck = 250 * time.Millisecond

// CallersBudget returns how many bytes the connections of callers of a process may hold that may use the given
// number of bytes; 0, for no limit, if that is 0.
func CallersBudget(process int64) int64 { return int64(callersShare * float64(process)) }

// Callers limits what the connections of callers hold together, and their number. Where there is no room, the
// connection is given up whose request has been incomplete, or whose answer has been waiting to be read, for longest;
// if there is none, the one that has been idle for longest. What it holds is free once it is closed. A request that has
// come completely is never given up, so that a further one is rejected. Set the exported fields before use. It is safe
// for concurrent use.
type Callers struct {
	Budget   int64       // max bytes, 0 for no limit
	MaxConns int         // max number of connections, 0 for no limit
	OnGiveUp func(Phase) // called for each connection that is given up, with the table locked; may be nil

	mu       sync.Mutex
	total    int64
	ending   int64 // of total, held by connections that were given up
	conns    map[*Caller]struct{}
	endConns int           // connections that were given up and are not closed
	released chan struct{} // closed when one of them is closed, nil if nobody waits
}

// Caller is the connection of a caller.
type Caller struct {
	callers *Callers
	giveUp  func()

	// guarded by callers.mu
	bytes  int64
	phase  Phase
	since  time.Time // when the phase began
	lost   bool
	closed bool
}

// Room says whether there is room for what a connection needs.
type Room string

// The answers of Callers.
const (
	Granted Room = "granted"
	Full    Room = "full"    // there is none, or the connection was given up
	Freeing Room = "freeing" // connections were given up for it, and it has to be asked for again when they have ended
)

// Open adds a connection that holds a number of bytes. giveUp is called at most once, with the table locked, to end the
// connection. For Freeing, released is closed when it is time to call Open again.
func (c *Callers) Open(now time.Time, bytes int64, giveUp func()) (x *Caller, r Room, released <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r = c.reserve(now, nil, bytes, 1)
	if r != Granted {
		return nil, r, c.awaitRelease(r)
	}
	x = &Caller{callers: c, giveUp: giveUp, phase: Idle, since: now, bytes: bytes}
	if c.conns == nil {
		c.conns = make(map[*Caller]struct{})
	}
	c.conns[x] = struct{}{}
	c.total += bytes
	return x, Granted, nil
}

// Set sets the phase of the connection and the number of bytes that it holds, unless there is no room for them. For
// Freeing, released is closed when it is time to call Set again.
func (x *Caller) Set(now time.Time, p Phase, bytes int64) (r Room, released <-chan struct{}) {
	c := x.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	if !x.lost && !x.closed {
		x.enter(now, p)
	}
	if grows := bytes - x.bytes; grows > 0 && !x.lost && !x.closed {
		if r := c.reserve(now, x, grows, 0); r != Granted {
			return r, c.awaitRelease(r)
		}
	}
	if x.lost || x.closed {
		return Full, nil
	}
	c.total += bytes - x.bytes
	x.bytes = bytes
	return Granted, nil
}

// Enter sets the phase of the connection.
func (x *Caller) Enter(now time.Time, p Phase) {
	x.callers.mu.Lock()
	defer x.callers.mu.Unlock()
	x.enter(now, p)
}

func (x *Caller) enter(now time.Time, p Phase) {
	if x.phase != p {
		x.phase, x.since = p, now
	}
}

// Close removes the connection, which holds nothing any more.
func (x *Caller) Close() {
	c := x.callers
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.closed {
		return
	}
	x.closed = true
	c.total -= x.bytes
	if !x.lost {
		delete(c.conns, x)
		return
	}
	c.ending -= x.bytes
	c.endConns--
	if c.released != nil {
		close(c.released)
		c.released = nil
	}
}

// Held returns the number of bytes held and the number of connections.
func (c *Callers) Held() (bytes int64, conns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total, len(c.conns) + c.endConns
}

// reserve gives up connections until a number of bytes and connections will fit in once they are closed. If x, which asks
// for it, is the next one, there is no room.
func (c *Callers) reserve(now time.Time, x *Caller, bytes int64, conns int) Room {
	for c.Budget > 0 && c.total-c.ending+bytes > c.Budget || c.MaxConns > 0 && len(c.conns)+conns > c.MaxConns {
		v := c.victim(now)
		if v == nil || v == x {
			return Full
		}
		c.lose(v)
	}
	if c.Budget > 0 && c.total+bytes > c.Budget || c.MaxConns > 0 && len(c.conns)+c.endConns+conns > c.MaxConns {
		return Freeing
	}
	return Granted
}

func (c *Callers) awaitRelease(r Room) <-chan struct{} {
	if r != Freeing {
		return nil
	}
	if c.released == nil {
		c.released = make(chan struct{})
	}
	return c.released
}

// victim returns the connection to be given up first, nil if there is none.
func (c *Callers) victim(now time.Time) *Caller {
	var stuck, idle *Caller
	for x := range c.conns {
		switch {
		case (x.phase == Receiving || x.phase == Writing) && (stuck == nil || x.since.Before(stuck.since)):
			stuck = x
		case x.phase == Idle && (idle == nil || x.since.Before(idle.since)):
			idle = x
		}
	}
	if stuck != nil && now.Sub(stuck.since) >= MinStuck {
		return stuck
	}
	return idle
}

func (c *Callers) lose(x *Caller) {
	x.lost = true
	c.ending += x.bytes
	c.endConns++
	delete(c.conns, x)
	if c.OnGiveUp != nil {
		c.OnGiveUp(x.phase)
	}
	x.giveUp()
}
