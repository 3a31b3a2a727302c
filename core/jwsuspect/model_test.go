package jwsuspect

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// model is a few nodes before targets that batch; one caller sends a request
// that crashes each target, again and again, each time to another node.
type model struct {
	seed     uint64
	together bool          // suspects may run on the same target
	delay    time.Duration // of notices between nodes
	again    time.Duration // shortest pause of the caller

	rnd     *rand.Rand
	now     time.Time
	nodes   []*Table
	targets []netip.AddrPort
	up      []time.Time // when a target that crashed is back
	load    []int
	flying  []call
	waiting []int // innocents that wait for a place
	later   map[time.Time][]int
	barred  map[Fingerprint]bool
}

// The size of the model.
const (
	modelNodes   = 6
	modelTargets = 12
	modelBatch   = 8
	modelStep    = 100 * time.Millisecond
	modelCall    = 3 * time.Second
	modelRestart = 5 * time.Second
	modelRetry   = 2 * time.Second // when callers are told to come back, at least
)

// poison is the number of the request that crashes targets.
const poison = 0

// call is one innocent request in flight.
type call struct {
	id, node, target int
	ends             time.Time
}

// run returns how many targets went down and the innocents that were barred.
func (m *model) run() (crashed, barred int) {
	m.start()
	next := at(time.Second)
	attempt := 0
	for innocent := 1; m.now.Before(at(time.Minute)); innocent += 2 {
		if m.now.Sub(start)%m.delay == 0 {
			m.tell()
		}
		m.finish()
		m.admit(innocent, innocent+1)
		if !m.now.Before(next) {
			next = m.now.Add(m.again + m.pause(m.again))
			if m.sendPoison(attempt % modelNodes) {
				crashed++
			}
			attempt++
		}
		m.now = m.now.Add(modelStep)
	}
	delete(m.barred, printOf(poison))
	return crashed, len(m.barred)
}

func (m *model) start() {
	m.rnd = rand.New(rand.NewPCG(m.seed, 1))
	m.now = start
	m.up, m.load = make([]time.Time, modelTargets), make([]int, modelTargets)
	m.later, m.barred = make(map[time.Time][]int), make(map[Fingerprint]bool)
	var names []string
	for i := range modelNodes {
		names = append(names, fmt.Sprint(i))
		m.nodes = append(m.nodes, &Table{Node: names[i]})
	}
	for _, table := range m.nodes {
		table.SetMembers(names)
	}
	for i := range modelTargets {
		m.targets = append(m.targets, target(i))
	}
}

func (m *model) pause(most time.Duration) time.Duration {
	return time.Duration(m.rnd.IntN(int(most/modelStep)+1)) * modelStep
}

// tell lets all nodes hear of each other's suspects.
func (m *model) tell() {
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			m.note(to.Merge(from.Notices("", m.now), m.now))
		}
	}
}

func (m *model) note(list []Fingerprint) {
	for _, f := range list {
		m.barred[f] = true
	}
}

// finish ends the calls whose time has come.
func (m *model) finish() {
	m.flying = slices.DeleteFunc(m.flying, func(c call) bool {
		if c.ends.After(m.now) {
			return false
		}
		m.nodes[c.node].End(printOf(c.id), target(c.target), true, m.now)
		m.load[c.target]--
		return true
	})
}

// admit starts new innocent requests and those that come back.
func (m *model) admit(fresh ...int) {
	ready := append(append(m.waiting, fresh...), m.later[m.now]...)
	m.waiting = nil
	for _, id := range ready {
		node := m.rnd.IntN(modelNodes)
		i := m.place(node, printOf(id))
		if i < 0 {
			m.waiting = append(m.waiting, id)
			continue
		}
		m.nodes[node].Begin(printOf(id), target(i), false)
		m.load[i]++
		m.flying = append(m.flying, call{id, node, i, m.now.Add(modelCall)})
	}
}

// place returns a target for a request, or a negative number for none.
func (m *model) place(node int, f Fingerprint) int {
	state, _ := m.nodes[node].Check(f, m.now)
	if state == Quarantined {
		return -1
	}
	var not []netip.AddrPort
	if state == Suspected && !m.together {
		not = m.nodes[node].Apart(f, m.targets, m.now)
	}
	for _, i := range m.rnd.Perm(modelTargets) {
		if !m.up[i].After(m.now) && m.load[i] < modelBatch && !slices.Contains(not, target(i)) {
			return i
		}
	}
	return -1
}

// sendPoison runs the poison request and reports whether it took a target down.
func (m *model) sendPoison(node int) bool {
	f := printOf(poison)
	i := m.place(node, f)
	if i < 0 {
		return false
	}
	m.nodes[node].Begin(f, target(i), false)
	for _, table := range m.nodes {
		m.note(table.Crashed(target(i), m.now))
	}
	m.nodes[node].End(f, target(i), false, m.now)
	m.up[i] = m.now.Add(modelRestart)
	m.load[i] = 0
	m.flying = slices.DeleteFunc(m.flying, func(c call) bool {
		if c.target != i {
			return false
		}
		m.nodes[c.node].End(printOf(c.id), target(i), false, m.now)
		back := m.now.Add(modelRetry + m.pause(modelRetry))
		m.later[back] = append(m.later[back], c.id)
		return true
	})
	return true
}
