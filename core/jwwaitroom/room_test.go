package jwwaitroom

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// turns returns those of the tickets that have their turn, by index.
func turns(tickets []*Ticket) (list []int) {
	for i, t := range tickets {
		select {
		case reason := <-t.Signal():
			if reason == None {
				list = append(list, i)
			}
		default:
		}
	}
	return list
}

func TestOrder(t *testing.T) {
	cases := map[string]struct {
		requests []Request
		want     []int
	}{
		"the more urgent first":       {[]Request{{Priority: 1, LatestStart: at(10)}, {Priority: 0, LatestStart: at(900)}}, []int{1, 0}},
		"then the larger share":       {[]Request{{Share: 1, LatestStart: at(10)}, {Share: 2, LatestStart: at(900)}}, []int{1, 0}},
		"then the least time left":    {[]Request{{LatestStart: at(900)}, {LatestStart: at(10)}}, []int{1, 0}},
		"then by arrival":             {[]Request{{LatestStart: at(10)}, {LatestStart: at(10)}}, []int{0, 1}},
		"urgency goes before a share": {[]Request{{Priority: 1, Share: 9, LatestStart: at(10)}, {Share: 1, LatestStart: at(10)}}, []int{1, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Room{MaxRequests: 10, MaxBytes: 10}
			var tickets []*Ticket
			for _, q := range c.requests {
				ticket, reason := r.Enter(start, q)
				assert.Equal(t, reason, None)
				tickets = append(tickets, ticket)
			}
			for _, want := range c.want {
				r.Offer(start, "", 1)
				assert.DeepEqual(t, turns(tickets), []int{want})
				r.Leave(start, tickets[want], false)
			}
		})
	}
}

func TestFullRoom(t *testing.T) {
	cases := map[string]struct {
		newcomer Request
		reason   Reason
		dropped  []int
	}{
		"the least urgent is displaced":       {Request{Priority: 0, Bytes: 1, LatestStart: at(99)}, None, []int{2}},
		"as many as its body needs":           {Request{Priority: 0, Bytes: 6, LatestStart: at(99)}, None, []int{1, 2}},
		"a less urgent one is not taken":      {Request{Priority: 3, Bytes: 1, LatestStart: at(99)}, Full, nil},
		"none is displaced in vain":           {Request{Priority: 1, Bytes: 8, LatestStart: at(5)}, Full, nil},
		"more than the room":                  {Request{Priority: 0, Bytes: 11, LatestStart: at(99)}, Full, nil},
		"a request without hope":              {Request{Priority: 0, Bytes: 1, LatestStart: at(0)}, Expired, nil},
		"one as urgent with less time left":   {Request{Priority: 2, Bytes: 1, LatestStart: at(5)}, None, []int{2}},
		"one as urgent that comes after them": {Request{Priority: 2, Bytes: 1, LatestStart: at(99)}, Full, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Room{MaxRequests: 3, MaxBytes: 10}
			var tickets []*Ticket
			for priority := range 3 {
				ticket, _ := r.Enter(start, Request{Priority: priority, Bytes: 3, LatestStart: at(10)})
				tickets = append(tickets, ticket)
			}
			_, reason := r.Enter(start, c.newcomer)
			assert.Equal(t, reason, c.reason)
			var dropped []int
			for i, ticket := range tickets {
				select {
				case reason := <-ticket.Signal():
					assert.Equal(t, reason, Displaced)
					dropped = append(dropped, i)
				default:
				}
			}
			assert.DeepEqual(t, dropped, c.dropped)
		})
	}
}

// A request whose time is over would hold the place of one that can still be served.
func TestExpiry(t *testing.T) {
	r := &Room{MaxRequests: 1, MaxBytes: 1}
	old, _ := r.Enter(start, Request{LatestStart: at(10)})
	_, reason := r.Enter(at(9), Request{Priority: 1, LatestStart: at(90)})
	assert.Equal(t, reason, Full)
	next, reason := r.Enter(at(10), Request{Priority: 1, LatestStart: at(90)})
	assert.Equal(t, reason, None)
	assert.Equal(t, <-old.Signal(), Expired)
	r.Offer(at(90), "", 1)
	assert.Equal(t, <-next.Signal(), Expired)
	assert.Equal(t, r.Load().Requests, 0)
}

func TestTurnPassesOn(t *testing.T) {
	r := &Room{MaxRequests: 9, MaxBytes: 9}
	var tickets []*Ticket
	for i := range 3 {
		ticket, _ := r.Enter(start, Request{Priority: i, LatestStart: at(99)})
		tickets = append(tickets, ticket)
	}
	r.Offer(start, "", 1)
	assert.DeepEqual(t, turns(tickets), []int{0})
	r.Leave(start, tickets[0], true) // it found a target, so there may be room for the next
	assert.DeepEqual(t, turns(tickets), []int{1})
	assert.Equal(t, r.Return(start, tickets[1]), None) // it found none
	assert.Assert(t, turns(tickets) == nil)
	r.Offer(start, "", 1)
	assert.DeepEqual(t, turns(tickets), []int{1})
	r.Leave(start, tickets[1], false) // its caller left
	assert.DeepEqual(t, turns(tickets), []int{2})
	r.Leave(start, tickets[2], false)
	r.Leave(start, tickets[2], false)
	assert.Equal(t, r.Load().Requests, 0)
}

// Of several requests with a turn the less urgent could take the only free slot first.
func TestOneTurnAtATime(t *testing.T) {
	r := &Room{MaxRequests: 9, MaxBytes: 9}
	var tickets []*Ticket
	for i := range 6 {
		ticket, _ := r.Enter(start, Request{Priority: i, LatestStart: at(99)})
		tickets = append(tickets, ticket)
	}
	r.Offer(start, "", 2)
	assert.DeepEqual(t, turns(tickets), []int{0})
	assert.Equal(t, r.Return(start, tickets[0]), None)
	assert.DeepEqual(t, turns(tickets), []int{1})
	r.Offer(start, "", 2) // what has changed may suit the first one
	assert.Assert(t, turns(tickets) == nil)
	assert.Equal(t, r.Return(start, tickets[1]), None)
	assert.DeepEqual(t, turns(tickets), []int{0})
	assert.Equal(t, r.Return(start, tickets[0]), None)
	assert.DeepEqual(t, turns(tickets), []int{1})
	assert.Equal(t, r.Return(start, tickets[1]), None)
	assert.Assert(t, turns(tickets) == nil)
}

// Requests that fit nowhere must not keep the others from a target until they expire.
func TestFirstOnesFitNowhere(t *testing.T) {
	r := &Room{MaxRequests: 20, MaxBytes: 9}
	var tickets []*Ticket
	for i := range 12 {
		ticket, _ := r.Enter(start, Request{Priority: i, LatestStart: at(99)})
		tickets = append(tickets, ticket)
	}
	seen := map[int]int{}
	for range 9 {
		r.Offer(start, "", 4)
		for {
			list := turns(tickets)
			if list == nil {
				break
			}
			assert.Equal(t, len(list), 1)
			seen[list[0]]++
			assert.Equal(t, r.Return(start, tickets[list[0]]), None)
		}
	}
	assert.DeepEqual(t, seen, map[int]int{0: 9, 1: 9, 2: 9, 3: 1, 4: 1, 5: 1, 6: 1, 7: 1, 8: 1, 9: 1, 10: 1, 11: 1})
}

// A request that is dropped while it has its turn must learn of it when it hands the turn back.
func TestDroppedDuringItsTurn(t *testing.T) {
	r := &Room{MaxRequests: 9, MaxBytes: 9}
	ticket, _ := r.Enter(start, Request{LatestStart: at(99)})
	r.Offer(start, "", 1)
	assert.Equal(t, <-ticket.Signal(), None)
	r.DropAll(Stopping)
	assert.Equal(t, r.Return(start, ticket), Stopping)
	r.Leave(start, ticket, true)
}

// Whatever happens, the room stays within its bounds, loses no request, and gives turns in order.
func TestRoomStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Room{MaxRequests: 6, MaxBytes: 20}
		now := start
		var live []*Ticket // entered and not left
		held := make(map[*Ticket]bool)
		pick := func(t *rapid.T) *Ticket {
			if len(live) == 0 {
				t.Skip("empty")
			}
			return live[rapid.IntRange(0, len(live)-1).Draw(t, "ticket")]
		}
		forget := func(x *Ticket) {
			live = slices.DeleteFunc(live, func(y *Ticket) bool { return x == y })
			delete(held, x)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				q := Request{
					Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Share: float64(rapid.IntRange(0, 1).Draw(t, "share")), Bytes: rapid.Int64Range(0, 8).Draw(t, "bytes"),
					LatestStart: now.Add(time.Duration(rapid.IntRange(-1, 50).Draw(t, "left")) * time.Millisecond),
				}
				if x, reason := r.Enter(now, q); reason == None {
					live = append(live, x)
				}
			},
			"offer": func(t *rapid.T) {
				r.Offer(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), rapid.IntRange(1, 3).Draw(t, "n"))
			},
			"time": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond) },
			"signal": func(t *rapid.T) {
				x := pick(t)
				select {
				case reason := <-x.Signal():
					if reason != None {
						forget(x)
					} else {
						held[x] = true
					}
				default:
				}
			},
			"return": func(t *rapid.T) {
				if x := pick(t); held[x] {
					if r.Return(now, x) == None {
						delete(held, x)
					} else {
						forget(x)
					}
				}
			},
			"leave": func(t *rapid.T) {
				x := pick(t)
				r.Leave(now, x, held[x])
				forget(x)
			},
			"": func(t *rapid.T) {
				l := r.Load()
				if l.Requests > r.MaxRequests || l.Bytes > r.MaxBytes || l.Bytes < 0 {
					t.Fatalf("out of bounds: %+v", l)
				}
				if !slices.IsSortedFunc(r.all, compare) {
					t.Fatal("not in order")
				}
				queued := 0
				for _, s := range r.services {
					queued += len(s.queue)
				}
				if queued != len(r.all) {
					t.Fatalf("%d in queues, %d in all", queued, len(r.all))
				}
				for _, s := range r.services {
					if s.holder == nil && s.again > 0 {
						t.Fatal("a round was forgotten")
					}
				}
				withTurn := map[string]int{}
				for x := range held {
					if withTurn[x.Service]++; withTurn[x.Service] > 1 {
						t.Fatal("two requests have their turn")
					}
				}
				for _, x := range r.all {
					if !slices.Contains(live, x) {
						t.Fatal("a request was left behind")
					}
				}
			},
		})
	})
}

// Requests that leave the room once a target has room are started without any further delay.
func TestTurnIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Room{MaxRequests: 10, MaxBytes: 10}
		ticket, _ := r.Enter(time.Now(), Request{LatestStart: time.Now().Add(time.Second)})
		go func() {
			time.Sleep(30 * time.Millisecond)
			r.Offer(time.Now(), "", 1)
		}()
		entered := time.Now()
		assert.Equal(t, <-ticket.Signal(), None)
		assert.Equal(t, time.Since(entered), 30*time.Millisecond)
	})
}

func TestAhead(t *testing.T) {
	r := &Room{MaxRequests: 10, MaxBytes: 10}
	n, wait := r.Ahead("", 0, 0)
	assert.Assert(t, n == 0 && wait == 0)
	for i := range 4 {
		_, reason := r.Enter(start, Request{Priority: i % 2, LatestStart: at(9999)})
		assert.Equal(t, reason, None)
	}
	n, _ = r.Ahead("", 0, 0)
	assert.Equal(t, n, 2)
	for i := range 2 {
		r.Offer(at(100*i), "", 1)
		for _, x := range slices.Clone(r.all) {
			if len(turns([]*Ticket{x})) > 0 {
				r.Leave(at(100*i), x, true)
				break
			}
		}
	}
	n, wait = r.Ahead("", 1, 0)
	assert.Equal(t, n, 2)
	assert.Equal(t, wait, 200*time.Millisecond)
}

// The time in which no request waits says nothing of how long the next ones will wait.
func TestAheadAfterPause(t *testing.T) {
	cases := map[string]struct {
		empty func(*Room, *Ticket)
		want  time.Duration // between two starts
	}{
		"the last one expires":        {func(r *Room, _ *Ticket) { r.Expire(at(5000)) }, 100 * time.Millisecond},
		"the last one is dropped":     {func(r *Room, _ *Ticket) { r.DropAll(Stopping) }, 100 * time.Millisecond},
		"the last one leaves":         {func(r *Room, x *Ticket) { r.Leave(at(200), x, false) }, 100 * time.Millisecond},
		"the last one is started":     {func(r *Room, x *Ticket) { r.Leave(at(200), x, true) }, 100 * time.Millisecond},
		"the last one waits for long": {func(*Room, *Ticket) {}, 290 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Room{MaxRequests: 10, MaxBytes: 10}
			enter := func(ms int) *Ticket {
				x, reason := r.Enter(at(ms), Request{LatestStart: at(ms + 1e6)})
				assert.Equal(t, reason, None)
				return x
			}
			first, second := enter(0), enter(0)
			last, _ := r.Enter(start, Request{Priority: 1, LatestStart: at(5000)})
			r.Leave(start, first, true)
			r.Leave(at(100), second, true)
			c.empty(r, last)
			const pause = 600_000
			x := enter(pause)
			enter(pause)
			r.Leave(at(pause), x, true)
			_, wait := r.Ahead("", 0, 0)
			assert.Equal(t, wait, c.want)
		})
	}
}

// BenchmarkRoom measures one request that comes, gets its turn and leaves, among others that wait.
func BenchmarkRoom(b *testing.B) {
	for _, waiting := range []int{0, 100, 4000} {
		b.Run(fmt.Sprintf("%d waiting", waiting), func(b *testing.B) {
			r := &Room{MaxRequests: 5000, MaxBytes: 1}
			for i := range waiting {
				_, reason := r.Enter(start, Request{Priority: 1 + i%3, LatestStart: at(1000 + i*7919%5000)})
				assert.Equal(b, reason, None)
			}
			for b.Loop() {
				x, _ := r.Enter(start, Request{LatestStart: at(1000)})
				r.Offer(start, "", 1)
				<-x.Signal()
				r.Leave(start, x, false)
				r.Ahead("", 0, 0)
			}
		})
	}
}
