package jwresolver

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubewheel/core/jwmember"
)

func member(name, region string) jwmember.Member { return jwmember.Member{Name: name, Region: region} }

// stopping returns a node whose planned stop began some time ago.
func stopping(name string, since time.Duration) jwmember.StoppingNode {
	return jwmember.StoppingNode{Member: member(name, "small"), Since: since}
}

// The two nodes of a small region are restarted in turn, and for a moment neither
// serves. Callers of that region must not be sent to other regions for seconds,
// possibly to one that must not hold their data.
func TestResolve(t *testing.T) {
	big := []jwmember.Member{member("b1", "big"), member("b2", "big")}
	other := []jwmember.Member{member("o1", "other")}
	elsewhere := append(append([]jwmember.Member{}, big...), other...)
	toBig := func([]string) []string { return []string{"big"} }
	nowhere := func([]string) []string { return nil }
	cases := map[string]struct {
		view View
		kind Kind
		want []string
		ttl  time.Duration
	}{
		"one serves":                    {View{InRegion: []jwmember.Member{member("s1", "small")}, All: elsewhere, Ready: true, ChooseStandIns: toBig}, Own, []string{"s1"}, TTL},
		"one serves, one stops":         {View{InRegion: []jwmember.Member{member("s1", "small")}, StoppingNodes: []jwmember.StoppingNode{stopping("s2", 0)}, All: elsewhere, Ready: true, ChooseStandIns: toBig}, Own, []string{"s1"}, TTL},
		"both stop, one a moment ago":   {View{StoppingNodes: []jwmember.StoppingNode{stopping("s1", 2800*time.Millisecond), stopping("s2", 0)}, All: elsewhere, Ready: true, ChooseStandIns: toBig}, Stopping, []string{"s2"}, TTL},
		"both stop, both take requests": {View{StoppingNodes: []jwmember.StoppingNode{stopping("s1", 1500*time.Millisecond), stopping("s2", 0)}, All: elsewhere, Ready: true, ChooseStandIns: toBig}, Stopping, []string{"s1", "s2"}, 500 * time.Millisecond},
		"the last stops, nearly done":   {View{StoppingNodes: []jwmember.StoppingNode{stopping("s2", 2200*time.Millisecond)}, All: elsewhere, Ready: true, ChooseStandIns: toBig}, StandIns, []string{"b1", "b2"}, standInTTL},
		"all lost":                      {View{All: elsewhere, Ready: true, ChooseStandIns: toBig}, StandIns, []string{"b1", "b2"}, standInTTL},
		"all lost, the node starts":     {View{All: elsewhere, ChooseStandIns: toBig}, NoNodes, nil, 0},
		"partitioned from all others":   {View{Ready: true, ChooseStandIns: nowhere}, NoNodes, nil, 0},
		"starts while the last stops":   {View{StoppingNodes: []jwmember.StoppingNode{stopping("s2", time.Second)}}, Stopping, []string{"s2"}, 2 * time.Second / OveruseFactor},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.view.Linger = Linger
			a := Resolve(c.view)
			var names []string
			for _, m := range a.Nodes {
				names = append(names, m.Name)
			}
			assert.Equal(t, a.Kind, c.kind)
			assert.DeepEqual(t, names, c.want)
			assert.Equal(t, a.TTL, c.ttl)
		})
	}
}

// A caller that uses an answer as long as any caller may must not reach a node that no
// longer accepts requests: its connection would be refused or get no response.
func TestAnswersExpireBeforeNodesStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := View{Linger: min(Linger, time.Duration(rapid.IntRange(0, 4000).Draw(t, "linger"))*time.Millisecond)}
		for i := range rapid.IntRange(0, 6).Draw(t, "nodes") {
			since := time.Duration(rapid.IntRange(0, 9000).Draw(t, "since")) * time.Millisecond
			v.StoppingNodes = append(v.StoppingNodes, stopping(fmt.Sprint("s", i), since))
		}
		a := Resolve(v)
		if (a.Kind == NoNodes) != (len(a.Nodes) == 0) || (a.TTL == 0) != (len(a.Nodes) == 0) {
			t.Fatalf("%+v", a)
		}
		for _, m := range a.Nodes {
			for _, l := range v.StoppingNodes {
				if l.Name == m.Name && l.Since+OveruseFactor*a.TTL > v.Linger {
					t.Fatalf("%s began to stop %s ago and is returned with a TTL of %s", l.Name, l.Since, a.TTL)
				}
			}
		}
	})
}

// In a rolling restart of a small region each node stops, accepts requests for Linger,
// ends and is back a moment later, and the next one stops some time after it. However
// many nodes there are, callers must be sent to other regions only while there is no
// node left that accepts requests long enough to be returned.
func TestRollingRestart(t *testing.T) {
	const downtime = time.Second // from the end of Linger until it serves again
	cases := map[string]struct {
		nodes int
		gap   time.Duration
		limit time.Duration // maximum time for which callers are sent to other regions
	}{
		"two, seconds apart":       {2, 6 * time.Second, 0},
		"two, one after the other": {2, 2 * time.Second, 0},
		"two at once":              {2, 0, Linger + downtime - (Linger - OveruseFactor*minTTL)},
		"four, a second apart":     {4, time.Second, 0},
		"one alone":                {1, 0, Linger + downtime - (Linger - OveruseFactor*minTTL)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const step = 10 * time.Millisecond
			elsewhere := time.Duration(0)
			for now := time.Duration(0); now < 30*time.Second; now += step {
				v := View{Linger: Linger, Ready: true, All: []jwmember.Member{member("b1", "big")}, ChooseStandIns: func(r []string) []string { return r }}
				for i := range c.nodes {
					since := now - time.Second - time.Duration(i)*c.gap
					switch {
					case since < 0 || since > Linger+downtime:
						v.InRegion = append(v.InRegion, member(fmt.Sprint("s", i), "small"))
					case since < Linger:
						v.StoppingNodes = append(v.StoppingNodes, stopping(fmt.Sprint("s", i), since))
					}
				}
				if Resolve(v).Kind == StandIns {
					elsewhere += step
				}
			}
			assert.Assert(t, elsewhere <= c.limit+2*step, "sent elsewhere for %s, want at most %s", elsewhere, c.limit)
		})
	}
}

// Of a hundred nodes, an answer contains at most maxNodes. If all callers got the first ones by
// name, the others would get no requests.
func TestManyNodes(t *testing.T) {
	nodes := make([]jwmember.Member, 100)
	for i := range nodes {
		nodes[i] = member(fmt.Sprintf("n%03d", i), "big")
	}
	counts := make(map[string]int)
	for i := range 200 {
		v := View{Caller: fmt.Sprintf("10.0.0.%d", i), InRegion: nodes}
		before := Resolve(v)
		assert.Equal(t, len(before.Nodes), maxNodes)
		for i, m := range Resolve(v).Nodes {
			assert.Equal(t, m.Name, before.Nodes[i].Name, "a caller that asks again gets the same nodes")
		}
		kept := make(map[string]bool)
		for _, m := range before.Nodes {
			counts[m.Name]++
			kept[m.Name] = true
		}
		v.InRegion = nodes[1:] // one is gone
		others := 0
		for _, m := range Resolve(v).Nodes {
			if !kept[m.Name] {
				others++
			}
		}
		assert.Assert(t, others <= 1, "%d nodes were replaced", others)
	}
	for _, m := range nodes {
		assert.Assert(t, counts[m.Name] > 80, "%s is returned to %d of 200 callers", m.Name, counts[m.Name])
	}
}

// Nodes differ fourfold in capacity and callers choose evenly among those returned. Small nodes must
// be returned to a fourth of the callers, large ones to almost all, and each caller keeps its nodes.
func TestNodesByCapacity(t *testing.T) {
	var nodes []jwmember.Member
	for i := range 24 {
		m := member(fmt.Sprintf("n%02d", i), "big")
		m.Capacity = 100 + 300*(i%2)
		nodes = append(nodes, m)
	}
	const callers = 1000
	counts := make(map[string]int)
	for i := range callers {
		v := View{Caller: fmt.Sprintf("10.0.%d.%d", i/250, i%250), InRegion: nodes, ByCapacity: true}
		a := Resolve(v)
		assert.Assert(t, len(a.Nodes) >= minNamed)
		assert.DeepEqual(t, addressNames(Resolve(v).Nodes), addressNames(a.Nodes))
		for _, m := range a.Nodes {
			counts[m.Name]++
		}
	}
	for _, m := range nodes {
		part := float64(counts[m.Name]) / callers
		want := float64(m.Capacity) / 400
		assert.Assert(t, part > 0.8*want && part < 1.2*want+0.001, "%s is returned to %.2f of the callers, want %.2f", m.Name, part, want)
	}
}

// All callers share one address. No node may stay without callers.
func TestNodesByCapacityChangeWithTurn(t *testing.T) {
	var nodes []jwmember.Member
	for i := range 12 {
		m := member(fmt.Sprintf("n%02d", i), "big")
		m.Capacity = 100 + 300*(i%2)
		nodes = append(nodes, m)
	}
	seen := make(map[string]bool)
	for turn := range uint64(40) {
		for _, m := range Resolve(View{Caller: "10.0.0.1", InRegion: nodes, ByCapacity: true, Turn: turn}).Nodes {
			seen[m.Name] = true
		}
	}
	assert.Equal(t, len(seen), len(nodes))
}

// Few nodes, or some of unknown capacity, are all returned, and without ByCapacity capacities have
// no effect.
func TestNodesThatAreAllReturned(t *testing.T) {
	list := func(capacities ...int) (nodes []jwmember.Member) {
		for i, c := range capacities {
			m := member(fmt.Sprint("n", i), "big")
			m.Capacity = c
			nodes = append(nodes, m)
		}
		return nodes
	}
	cases := map[string]View{
		"few":                {InRegion: list(1, 400, 400, 400), ByCapacity: true},
		"a capacity unknown": {InRegion: list(1, 400, 400, 400, 400, 0), ByCapacity: true},
		"not by capacity":    {InRegion: list(1, 1, 1, 1, 1, 400, 400)},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, addressNames(Resolve(v).Nodes), addressNames(v.InRegion))
		})
	}
}

func addressNames(nodes []jwmember.Member) (names []string) {
	for _, m := range nodes {
		names = append(names, m.Name)
	}
	return names
}
