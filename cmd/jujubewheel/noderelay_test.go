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

// nodeRelay relays the connections between nodes and can separate a region from
// the others. A node has a single address for all other nodes, so that the relay
// has to find out which region a connection comes from: it looks up which node's
// process has the other end of the connection.
type nodeRelay struct {
	t *testing.T

	mu          sync.Mutex
	nodes       []*nodeProcess
	separated   string            // region separated from the others, empty for none
	crossRegion map[net.Conn]bool // open connections between regions
}

// listen opens the relay's port for a node of a region. Connections are relayed
// from when join is called, once the node runs.
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

// setPartition separates a region from the others, or none if region is empty,
// and closes the open connections between regions.
func (r *nodeRelay) setPartition(region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.separated = region
	for conn := range r.crossRegion {
		_ = conn.Close()
	}
	clear(r.crossRegion)
}

// allow reports whether a connection between two regions is relayed now, and
// remembers it for setPartition if the regions differ.
func (r *nodeRelay) allow(conn net.Conn, from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == to {
		return true
	}
	if r.separated != "" && (from == r.separated || to == r.separated || from == "") {
		return false
	}
	if r.crossRegion == nil {
		r.crossRegion = make(map[net.Conn]bool)
	}
	r.crossRegion[conn] = true
	return true
}

// forward copies between a connection and the node that it is meant for, until
// either end closes.
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

// dialingRegion returns the region of the node that has the other end of a
// connection, empty if none of the nodes has it.
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

// socketInode returns the inode of the socket with a local and a remote port,
// from the kernel's list of TCP connections; it is empty if there is none.
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
