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
	seed         uint64
	shareTargets bool          // suspects may run on the same target
	delay        time.Duration // of notices between nodes
	retryPause   time.Duration // shortest pause of the caller

	rnd         *rand.Rand
	now         time.Time
	nodes       []*Table
	targets     []netip.AddrPort
	upAt        []time.Time // when a target that crashed is back
	load        []int
	inFlight    []innocentCall
	waiting     []int // innocents that wait for a place
	retries     map[time.Time][]int
	quarantined map[Fingerprint]bool
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

// innocentCall is one innocent request in flight.
type innocentCall struct {
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
			m.exchangeNotices()
		}
		m.finish()
		m.admit(innocent, innocent+1)
		if !m.now.Before(next) {
			next = m.now.Add(m.retryPause + m.randomPause(m.retryPause))
			if m.sendPoison(attempt % modelNodes) {
				crashed++
			}
			attempt++
		}
		m.now = m.now.Add(modelStep)
	}
	delete(m.quarantined, testFingerprint(poison))
	return crashed, len(m.quarantined)
}

func (m *model) start() {
	m.rnd = rand.New(rand.NewPCG(m.seed, 1))
	m.now = start
	m.upAt, m.load = make([]time.Time, modelTargets), make([]int, modelTargets)
	m.retries, m.quarantined = make(map[time.Time][]int), make(map[Fingerprint]bool)
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

func (m *model) randomPause(most time.Duration) time.Duration {
	return time.Duration(m.rnd.IntN(int(most/modelStep)+1)) * modelStep
}

// exchangeNotices lets all nodes hear of each other's suspects.
func (m *model) exchangeNotices() {
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			m.recordQuarantined(to.Merge(from.Notices("", m.now), m.now))
		}
	}
}

func (m *model) recordQuarantined(list []Fingerprint) {
	for _, f := range list {
		m.quarantined[f] = true
	}
}

// finish ends the calls whose time has come.
func (m *model) finish() {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(c innocentCall) bool {
		if c.ends.After(m.now) {
			return false
		}
		m.nodes[c.node].End(testFingerprint(c.id), target(c.target), true, m.now)
		m.load[c.target]--
		return true
	})
}

// admit starts new innocent requests and those that come back.
func (m *model) admit(fresh ...int) {
	ready := append(append(m.waiting, fresh...), m.retries[m.now]...)
	m.waiting = nil
	for _, id := range ready {
		node := m.rnd.IntN(modelNodes)
		i := m.pickTarget(node, testFingerprint(id))
		if i < 0 {
			m.waiting = append(m.waiting, id)
			continue
		}
		m.nodes[node].Begin(testFingerprint(id), target(i), false)
		m.load[i]++
		m.inFlight = append(m.inFlight, innocentCall{id, node, i, m.now.Add(modelCall)})
	}
}

// pickTarget returns a target for a request, or a negative number for none.
func (m *model) pickTarget(node int, f Fingerprint) int {
	state, _ := m.nodes[node].Check(f, m.now)
	if state == Quarantined {
		return -1
	}
	var not []netip.AddrPort
	if state == Suspected && !m.shareTargets {
		not = m.nodes[node].Apart(f, m.targets, m.now)
	}
	for _, i := range m.rnd.Perm(modelTargets) {
		if !m.upAt[i].After(m.now) && m.load[i] < modelBatch && !slices.Contains(not, target(i)) {
			return i
		}
	}
	return -1
}

// sendPoison runs the poison request and reports whether it took a target down.
func (m *model) sendPoison(node int) bool {
	f := testFingerprint(poison)
	i := m.pickTarget(node, f)
	if i < 0 {
		return false
	}
	m.nodes[node].Begin(f, target(i), false)
	for _, table := range m.nodes {
		m.recordQuarantined(table.Crashed(target(i), m.now))
	}
	m.nodes[node].End(f, target(i), false, m.now)
	m.upAt[i] = m.now.Add(modelRestart)
	m.load[i] = 0
	m.inFlight = slices.DeleteFunc(m.inFlight, func(c innocentCall) bool {
		if c.target != i {
			return false
		}
		m.nodes[c.node].End(testFingerprint(c.id), target(i), false, m.now)
		back := m.now.Add(modelRetry + m.randomPause(modelRetry))
		m.retries[back] = append(m.retries[back], c.id)
		return true
	})
	return true
}
