package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address, until it is cut: then it holds what arrives, without a
// reset, and passes it on after the cut.
type proxy struct {
	addr string
	mu   sync.Mutex
	cut  bool
	all  map[net.Conn]bool
}

func newProxy(to string) *proxy {
	l := mustListen()
	p := &proxy{addr: l.Addr().String(), all: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				p.await()
				d, err := net.Dial("tcp", to)
				if err != nil {
					c.Close()
					return
				}
				p.mu.Lock()
				p.all[c], p.all[d] = true, true
				p.mu.Unlock()
				go p.pass(d, c)
				p.pass(c, d)
			}()
		}
	}()
	return p
}

func (p *proxy) isCut() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.cut }

func (p *proxy) await() {
	for p.isCut() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) set(cut bool) { p.mu.Lock(); p.cut = cut; p.mu.Unlock() }

func (p *proxy) pass(to, from net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		p.await()
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	p.mu.Lock()
	delete(p.all, to)
	delete(p.all, from)
	p.mu.Unlock()
}
