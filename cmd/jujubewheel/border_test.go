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

// nodeRelay relays what nodes send each other. A node has one address for all
// others, so that a relay can cut a region off only if it knows who dials: it
// looks up which node's process has the other end of the connection.
type nodeRelay struct {
	t *testing.T

	mu          sync.Mutex
	nodes       []*nodeProcess
	cutRegion   string // region cut off from the others, empty for none
	crossRegion map[net.Conn]bool
}

// listen opens the relay of a node of a region; join has to be called once the
// node runs.
func (r *nodeRelay) listen(region string) (at netip.AddrPort, join func(*nodeProcess)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = l.Close() })
	started := make(chan netip.AddrPort, 1)
	go func() {
		to := <-started
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(near, region, to)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), func(n *nodeProcess) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.nodes = append(r.nodes, n)
		started <- n.Nodes
	}
}

// setCut cuts a region off from the others; what is open is reset.
func (r *nodeRelay) setCut(region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutRegion = region
	for conn := range r.crossRegion {
		_ = conn.Close()
	}
	clear(r.crossRegion)
}

// allow tells whether a connection may pass now, and keeps it if it crosses.
func (r *nodeRelay) allow(conn net.Conn, from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == to {
		return true
	}
	if r.cutRegion != "" && (from == r.cutRegion || to == r.cutRegion || from == "") {
		return false
	}
	if r.crossRegion == nil {
		r.crossRegion = make(map[net.Conn]bool)
	}
	r.crossRegion[conn] = true
	return true
}

func (r *nodeRelay) forward(near net.Conn, region string, to netip.AddrPort) {
	defer func() { _ = near.Close() }()
	if !r.allow(near, r.dialingRegion(near), region) {
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

// dialingRegion returns the region of the node that has the other end, empty if
// that is none of them.
func (r *nodeRelay) dialingRegion(near net.Conn) string {
	r.mu.Lock()
	nodes := r.nodes
	r.mu.Unlock()
	far, here := near.RemoteAddr().(*net.TCPAddr).Port, near.LocalAddr().(*net.TCPAddr).Port
	inode := socketInode(far, here)
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

// socketInode finds the socket of a connection in the kernel's list.
func socketInode(local, remote int) string {
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
