package jwgateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwplacement"
	"jujubewheel/core/jwwaitroom"
	"jujubewheel/io/jwsettings"
)

// testGateway is a gateway whose host can be suspended.
type testGateway struct {
	*Gateway
	suspended *atomic.Int64 // for how long the host was suspended
}

// roomGateway returns a gateway of one node with targets of one service "s".
func roomGateway(targets, slots int, mode jwsettings.WaitingRoomMode) testGateway {
	g := &Gateway{Settings: &jwsettings.Settings{Node: "n1", Region: "r", Gateway: &jwsettings.Gateway{Overload: jwsettings.OverloadOn, WaitingRoom: mode}}}
	x := testGateway{g, new(atomic.Int64)}
	g.metrics = newMetrics(nil)
	g.startTime = time.Now()
	g.prepareRoom()
	g.pauseDetector.Limit = pauseLimit
	g.pauseDetector.TimeSinceBoot = func() time.Duration { return time.Since(g.startTime) + time.Duration(x.suspended.Load()) }
	g.pauseDetector.Reset()
	g.bounds.Store(&jwsettings.Bounds{Grace: 10 * time.Second})
	g.targets.Node, g.targets.Region = "n1", "r"
	for i := range targets {
		g.targets.Put(time.Now(), jwinstance.Instance{ID: fmt.Sprintf("t%03d", i), Service: "s", Region: "r", Slots: slots})
	}
	return x
}

func roomRequest(id string, priority, tokens int, goal time.Duration) *request {
	q := &request{
		CallerHeaders: CallerHeaders{ID: id, Prompt: jwinstance.Prompt{Tokens: tokens, Output: 100}},
		entry:         &jwentry.Entry{Kind: jwentry.Stream, Goal: goal, Priority: priority}, priority: priority, service: "s",
		arrived: time.Now(), deadline: time.Now().Add(10 * time.Second), tried: map[string]bool{},
	}
	q.body.buffered = make([]byte, 1000)
	return q
}

// noTargetLeft is the reason of place if no target is usable.
const noTargetLeft jwwaitroom.Reason = "no target is usable"

// place does what sendOrWait and send do up to the choice of a target of this region.
func (g *Gateway) place(ctx context.Context, q *request) (jwinstance.Choice, jwwaitroom.Reason) {
	defer g.leaveRoom(q, waitDropped)
	for {
		c, ok, wait := g.bestWithRoom(time.Now(), q, jwinstance.Need{Service: q.service, Prompt: q.Prompt, Priority: q.priority})
		if ok {
			return c, jwwaitroom.None
		}
		if !wait {
			return c, noTargetLeft
		}
		if reason := g.awaitTurn(ctx, q); reason != jwwaitroom.None {
			return c, reason
		}
	}
}

// call places a request and holds its slot for d. started is called when it has got the slot.
func (g *Gateway) call(q *request, d time.Duration, started func()) jwwaitroom.Reason {
	c, reason := g.place(context.Background(), q)
	if reason == jwwaitroom.None {
		started()
		time.Sleep(d)
		g.targets.Done(time.Now(), c.Target, c, 0)
		g.offerTurn("s")
	}
	return reason
}

// A wave of urgent long prompts comes over a full fleet. They are served before the less urgent ones
// that came earlier, and the latter are not held without hope.
func TestUrgentWaveOverFullFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := roomGateway(2, 4, jwsettings.WaitAtNode)
		var mu sync.Mutex
		var order []string
		reasons := map[jwwaitroom.Reason]int{}
		var wg sync.WaitGroup
		launch := func(n, priority, tokens int, name string) {
			for i := range n {
				q := roomRequest(fmt.Sprintf("%s%d", name, i), priority, tokens, 2400*time.Millisecond)
				wg.Go(func() {
					// The start, as calls that end in the same instant do so in any order.
					reason := g.call(q, 400*time.Millisecond, func() {
						mu.Lock()
						defer mu.Unlock()
						order = append(order, name)
					})
					mu.Lock()
					defer mu.Unlock()
					reasons[reason]++
				})
			}
		}
		launch(10, 2, 100, "first") // fill the room of 2 targets with 4 slots and a queue of 1 each
		synctest.Wait()
		launch(30, 2, 100, "draft")
		time.Sleep(10 * time.Millisecond)
		launch(20, 0, 4000, "urgent")
		wg.Wait()
		assert.Equal(t, reasons[jwwaitroom.None]+reasons[jwwaitroom.Expired], 60)
		assert.Equal(t, g.room.Load().Requests, 0)
		assert.Equal(t, g.room.Load().Bytes, int64(0))
		lastUrgent := slices.Index(order, "draft")
		if lastUrgent < 0 {
			lastUrgent = len(order)
		}
		urgent := 0
		for _, name := range order[:lastUrgent] {
			if name == "urgent" {
				urgent++
			}
		}
		assert.Assert(t, urgent >= 18, "%d of 20 urgent requests before the first draft, order %v", urgent, order)
	})
}

// The fleet shrinks while requests wait. Each of them is served or dropped with a reason by its time,
// and nothing goes to the targets that are gone.
func TestShrinkingFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := roomGateway(8, 4, jwsettings.WaitAtNode)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go g.runRoom(ctx)
		var wg sync.WaitGroup
		for i := range 200 {
			q := roomRequest(fmt.Sprint(i), i%3, 1000, time.Second)
			wg.Go(func() {
				reason := g.call(q, 300*time.Millisecond, func() {})
				if reason != jwwaitroom.None {
					assert.Equal(t, reason, jwwaitroom.Expired)
					assert.Assert(t, !time.Now().After(q.arrived.Add(500*time.Millisecond+turnInterval)))
				}
			})
			if i == 100 {
				g.targets.RemoveExcept(time.Now(), map[string]bool{"t000": true, "t001": true}, 1<<40)
			}
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		assert.DeepEqual(t, g.room.Load(), jwwaitroom.Load{ByPriority: map[int]int{}})
	})
}

// The pressure of a request is what it waits, however often it gets its turn.
func TestPressureOfWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, direct := roomGateway(1, 1, jwsettings.WaitAtNode), roomGateway(1, 1, jwsettings.WaitAtNode)
		q := roomRequest("one", 0, 100, time.Second)
		calls := g.fill()
		choice := jwplacement.Choice{Option: jwplacement.Option{Expected: 50 * time.Millisecond, OwnReadTime: 40 * time.Millisecond, Queue: 10 * time.Millisecond}}
		time.AfterFunc(350*time.Millisecond, func() { g.targets.Done(time.Now(), calls[0].Target, calls[0], 0) })
		for range 4 {
			time.AfterFunc(100*time.Millisecond, func() { g.offerTurn("s") })
			g.admit(time.Now(), q, choice)
			_, ok, wait := g.bestWithRoom(time.Now(), q, jwinstance.Need{Service: "s", Prompt: q.Prompt})
			assert.Assert(t, wait && !ok)
			assert.Equal(t, g.pressure.Of(time.Now(), "s", 1), 0.0)
			assert.Equal(t, g.awaitTurn(context.Background(), q), jwwaitroom.None)
		}
		g.admit(time.Now(), q, choice)
		_, ok, _ := g.bestWithRoom(time.Now(), q, jwinstance.Need{Service: "s", Prompt: q.Prompt})
		assert.Assert(t, ok)
		now := time.Now()
		g.observePressure(now, q)
		g.observePressure(now, q)
		direct.pressure.Observe(now, "s", 0, 410*time.Millisecond, time.Second)
		assert.Equal(t, g.pressure.Of(now, "s", 1), direct.pressure.Of(now, "s", 1))
	})
}

// A forwarded request has less time left to wait, or it would begin late.
func TestWaitOfForwardedRequest(t *testing.T) {
	cases := map[string]struct {
		mode   jwsettings.OverloadMode
		header string
		waited time.Duration
	}{
		"overload control":    {jwsettings.OverloadOn, "420", 420 * time.Millisecond},
		"no overload control": {jwsettings.OverloadOff, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := roomGateway(1, 1, jwsettings.WaitAtNode)
				g.Settings.Gateway.Overload = c.mode
				q := roomRequest("one", 1, 100, time.Second)
				q.waitedBefore = 120 * time.Millisecond
				time.Sleep(300 * time.Millisecond)
				h := http.Header{headerWaited: {"1"}}
				g.setWaited(h, q)
				assert.Equal(t, h.Get(headerWaited), c.header)
				q.arrived, q.waitedBefore = time.Now(), c.waited
				assert.Equal(t, g.latestStart(q).Sub(q.arrived), 500*time.Millisecond-c.waited)
			})
		})
	}
}

// With room, a request is placed at once: the waiting room adds no wait.
func TestNoWaitUnderLightLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := roomGateway(4, 4, jwsettings.WaitAtNode)
		for i := range 500 {
			start := time.Now()
			c, reason := g.place(context.Background(), roomRequest(fmt.Sprint(i), i%3, 1000, time.Second))
			assert.Equal(t, reason, jwwaitroom.None)
			assert.Equal(t, time.Since(start), time.Duration(0))
			go func() {
				time.Sleep(100 * time.Millisecond)
				g.targets.Done(time.Now(), c.Target, c, 0)
			}()
			time.Sleep(10 * time.Millisecond) // ten of sixteen slots are busy
		}
		time.Sleep(time.Second)
	})
}

// Nothing may stay in the room, whatever ends the wait.
func TestWaitEnds(t *testing.T) {
	cases := map[string]struct {
		event func(g testGateway, call jwinstance.Choice, cancel func())
		want  jwwaitroom.Reason
		after time.Duration // since the request came
	}{
		"the caller leaves":     {func(_ testGateway, _ jwinstance.Choice, cancel func()) { cancel() }, jwwaitroom.Expired, 100 * time.Millisecond},
		"too late for its goal": {func(testGateway, jwinstance.Choice, func()) {}, jwwaitroom.Expired, 500 * time.Millisecond},
		"a call ends":           {func(g testGateway, call jwinstance.Choice, _ func()) { g.end(call) }, jwwaitroom.None, 100 * time.Millisecond},
		"the node stops": {func(g testGateway, _ jwinstance.Choice, _ func()) {
			g.stopping.Store(true)
			g.bounds.Store(&jwsettings.Bounds{})
		}, jwwaitroom.Stopping, 100 * time.Millisecond},
		"a target gets room": {func(g testGateway, _ jwinstance.Choice, _ func()) { g.putTarget("new") }, jwwaitroom.None, 100 * time.Millisecond},
		"the target refuses others": {func(g testGateway, call jwinstance.Choice, _ func()) {
			g.targets.Refused(time.Now(), call.Target)
			g.end(call)
		}, jwwaitroom.None, 200 * time.Millisecond},
		"the target asks for no more": {func(g testGateway, call jwinstance.Choice, _ func()) {
			g.targets.SetClosed(time.Now(), call.Target, time.Second)
			g.end(call)
		}, noTargetLeft, 100 * time.Millisecond},
		"all targets deregister": {func(g testGateway, _ jwinstance.Choice, _ func()) { g.targets.RemoveExcept(time.Now(), nil, 1<<40) }, noTargetLeft, 100 * time.Millisecond},
		"a pause of the process": {func(g testGateway, call jwinstance.Choice, _ func()) {
			g.suspended.Store(int64(time.Hour))
			g.end(call)
		}, jwwaitroom.Expired, 500 * time.Millisecond},
		"a pause and a read of the store": {func(g testGateway, call jwinstance.Choice, _ func()) {
			g.suspended.Store(int64(time.Hour))
			g.end(call)
			time.AfterFunc(200*time.Millisecond, g.pauseDetector.Reset)
		}, jwwaitroom.None, 300 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := roomGateway(1, 1, jwsettings.WaitAtNode)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go g.runRoom(ctx)
				calls := g.fill()
				waitCtx, leave := context.WithCancel(ctx)
				// Not at the instant of a turn: the two would come in any order.
				time.AfterFunc(101*time.Millisecond, func() { c.event(g, calls[0], leave) })
				start := time.Now()
				_, reason := g.place(waitCtx, roomRequest("one", 1, 100, time.Second))
				assert.Equal(t, reason, c.want)
				took := time.Since(start)
				assert.Assert(t, took >= c.after && took <= c.after+turnInterval, "after %v", took)
				assert.DeepEqual(t, g.room.Load(), jwwaitroom.Load{ByPriority: map[int]int{}})
				leave()
			})
		})
	}
}

// fill takes all the room of the targets and returns the calls.
func (g *Gateway) fill() (calls []jwinstance.Choice) {
	for {
		c, ok := g.targets.Best(time.Now(), jwinstance.Need{Service: "s", Prompt: jwinstance.Prompt{Tokens: 10}, OnlyWithRoom: true})
		if !ok {
			return calls
		}
		calls = append(calls, c)
	}
}

// end ends a call.
func (g *Gateway) end(c jwinstance.Choice) {
	g.targets.Done(time.Now(), c.Target, c, 0)
	g.offerTurn("s")
}

func (g *Gateway) putTarget(id string) {
	g.targets.Put(time.Now(), jwinstance.Instance{ID: id, Service: "s", Region: "r", Slots: 1})
}

// Where overload control does not apply, or requests wait at targets, the choice stays what it was.
func TestNoWaitingRoomUnlessAskedFor(t *testing.T) {
	cases := map[string]func(*jwsettings.Gateway){
		"overload control is off":  func(s *jwsettings.Gateway) { s.Overload = jwsettings.OverloadOff },
		"no targets report a pace": func(s *jwsettings.Gateway) { s.Overload = jwsettings.OverloadAuto },
		"requests wait at targets": func(s *jwsettings.Gateway) { s.WaitingRoom = jwsettings.WaitAtTarget },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, plain := roomGateway(3, 2, jwsettings.WaitAtNode), roomGateway(3, 2, jwsettings.WaitAtNode)
				change(g.Settings.Gateway)
				for i := range 100 {
					q := roomRequest(fmt.Sprint(i), i%3, 100*i, time.Second)
					n := jwinstance.Need{Service: "s", Prompt: q.Prompt, Priority: q.priority}
					c, ok, wait := g.bestWithRoom(time.Now(), q, n)
					want, wantOK := plain.targets.Best(time.Now(), n)
					assert.Assert(t, ok && wantOK && !wait)
					assert.Equal(t, c.Target.ID, want.Target.ID)
					assert.Equal(t, c.Cost, want.Cost)
				}
				assert.Equal(t, g.serviceRoomWait("s"), time.Duration(0))
			})
		})
	}
}

// BenchmarkRoomDecision measures the choice among 250 targets of a full region whose room is
// divided, with and without the waiting room.
func BenchmarkRoomDecision(b *testing.B) {
	for _, mode := range []jwsettings.WaitingRoomMode{jwsettings.WaitAtTarget, jwsettings.WaitAtNode} {
		b.Run(string(mode), func(b *testing.B) {
			g := roomGateway(250, 24, mode)
			g.targets.Nodes, g.targets.Rand = func() int { return 75 }, func(n int) int { return n / 2 }
			q := roomRequest("one", 1, 1000, time.Second)
			n := jwinstance.Need{Service: "s", Prompt: q.Prompt, Priority: 1}
			for b.Loop() {
				now := time.Now()
				c, ok, _ := g.bestWithRoom(now, q, n)
				if !ok {
					b.Fatal("no target")
				}
				g.targets.Done(now, c.Target, c, 0)
			}
		})
	}
}
