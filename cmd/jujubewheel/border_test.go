package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// border relays what nodes send each other. A node has one address for all
// others, so that a relay can cut a region off only if it knows who dials: it
// looks up which node's process has the other end of the connection.
type border struct {
	t *testing.T

	mu       sync.Mutex
	nodes    []*nodeProcess
	cut      string // region cut off from the others, empty for none
	crossing map[net.Conn]bool
}

// gate opens the relay of a node of a region; join has to be called once the
// node runs.
func (b *border) gate(region string) (at netip.AddrPort, join func(*nodeProcess)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { _ = l.Close() })
	started := make(chan netip.AddrPort, 1)
	go func() {
		to := <-started
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go b.relay(near, region, to)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), func(n *nodeProcess) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.nodes = append(b.nodes, n)
		started <- n.Nodes
	}
}

// setCut cuts a region off from the others; what is open is reset.
func (b *border) setCut(region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = region
	for conn := range b.crossing {
		_ = conn.Close()
	}
	clear(b.crossing)
}

// admit tells whether a connection may pass now, and keeps it if it crosses.
func (b *border) admit(near net.Conn, from, to string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from == to {
		return true
	}
	if b.cut != "" && (from == b.cut || to == b.cut || from == "") {
		return false
	}
	if b.crossing == nil {
		b.crossing = make(map[net.Conn]bool)
	}
	b.crossing[near] = true
	return true
}

func (b *border) relay(near net.Conn, region string, to netip.AddrPort) {
	defer func() { _ = near.Close() }()
	if !b.admit(near, b.dialler(near), region) {
		return
	}
	far, err := net.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far)
}

// dialler returns the region of the node that has the other end, empty if
// that is none of them.
func (b *border) dialler(near net.Conn) string {
	b.mu.Lock()
	nodes := b.nodes
	b.mu.Unlock()
	far, here := near.RemoteAddr().(*net.TCPAddr).Port, near.LocalAddr().(*net.TCPAddr).Port
	inode := inodeOf(far, here)
	for _, n := range nodes {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.cmd.Process.Pid))
		for _, file := range files {
			if link, err := os.Readlink(file); err == nil && link == "socket:["+inode+"]" {
				return n.region
			}
		}
	}
	return ""
}

// inodeOf finds the socket of a connection in the kernel's list.
func inodeOf(local, remote int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			return fields[9]
		}
	}
	return ""
}
