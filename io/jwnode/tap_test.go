package jwnode

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// taps relays the traffic between the nodes of the regions and to the platform's
// services, and keeps every byte.
type taps struct {
	mu    sync.Mutex
	bytes map[string]*bytes.Buffer // by region and name of the node, as in "east/e1"
}

// tap is a TCP relay to one address.
type tap struct {
	taps *taps
	name string
	dst  netip.AddrPort
	l    net.Listener
	t    testing.TB
}

// nodeTaps holds the relays of one node. Without taps it relays nothing.
type nodeTaps struct {
	taps *taps
	name string
	t    testing.TB
	in   *tap
}

// node creates the relays of a node, or none if ts is nil.
func (ts *taps) node(t testing.TB, name, region string) *nodeTaps {
	if ts == nil {
		return &nodeTaps{}
	}
	th := &nodeTaps{taps: ts, name: region + "/" + name, t: t}
	th.in = ts.listen(t, th.name)
	return th
}

func (ts *taps) listen(t testing.TB, name string) *tap {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return &tap{taps: ts, name: name, l: l, t: t}
}

func (p *tap) address() netip.AddrPort { return p.l.Addr().(*net.TCPAddr).AddrPort() }

// advertise returns the part of the settings that makes other nodes connect
// through the relay.
func (th *nodeTaps) advertise() string {
	if th.taps == nil {
		return ""
	}
	return fmt.Sprintf(`"advertise": {"nodes": %q},`, th.in.address())
}

// open starts the relay to the node's port for other nodes and returns the
// address that they use.
func (th *nodeTaps) open(nodes netip.AddrPort) netip.AddrPort {
	if th.taps == nil {
		return nodes
	}
	th.in.dst = nodes
	go th.in.run()
	return th.in.address()
}

// platform returns the address at which the node reaches a service of the
// platform, through a relay if there are taps.
func (th *nodeTaps) platform(to netip.AddrPort) netip.AddrPort {
	if th.taps == nil {
		return to
	}
	p := th.taps.listen(th.t, th.name)
	p.dst = to
	go p.run()
	return p.address()
}

func (p *tap) run() {
	for {
		near, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.relay(near)
	}
}

func (p *tap) relay(near net.Conn) {
	far, err := net.Dial("tcp", p.dst.String())
	if err != nil {
		_ = near.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near) })
	wg.Go(func() { p.copy(near, far) })
	wg.Wait()
}

func (p *tap) copy(to, from net.Conn) {
	_, _ = io.Copy(to, io.TeeReader(from, &record{p}))
	_ = to.Close()
	_ = from.Close()
}

// record is a writer that keeps the bytes that pass a tap.
type record struct{ *tap }

// Write implements io.Writer.
func (r *record) Write(b []byte) (int, error) {
	r.taps.mu.Lock()
	defer r.taps.mu.Unlock()
	if r.taps.bytes == nil {
		r.taps.bytes = make(map[string]*bytes.Buffer)
	}
	buf := r.taps.bytes[r.name]
	if buf == nil {
		buf = &bytes.Buffer{}
		r.taps.bytes[r.name] = buf
	}
	return buf.Write(b)
}

// traffic returns all bytes that went through the relays, by region and name of
// the node.
func (ts *taps) traffic() map[string][]byte {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	out := make(map[string][]byte)
	for name, b := range ts.bytes {
		out[name] = bytes.Clone(b.Bytes())
	}
	return out
}
