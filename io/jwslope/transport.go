package jwslope

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"jujubewheel/core/jwpeer"
	"jujubewheel/io/jwforward"
)

// countingListener counts the bytes of all its connections, both ways.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// echo answers every exchange with as much as it was told.
type echo struct{}

// Answer returns what came.
func (echo) Answer(t jwpeer.Told) jwpeer.Told { return t }

// exchangeOver measures one exchange between two nodes over gRPC on loopback
// that carries the words of n peers each way, both sides together.
func exchangeOver(ctx context.Context, n int) (asked, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return asked{}, err
	}
	counted := &countingListener{Listener: l}
	var server *grpc.Server = (&jwforward.Server{Exchanger: echo{}}).GRPC()
	go func() { _ = server.Serve(counted) }()
	defer server.Stop()
	pool := &jwforward.Pool{}
	defer pool.Close()
	to := jwpeer.Peer{Name: "other", Nodes: netip.MustParseAddrPort(l.Addr().String())}
	told := jwpeer.Told{From: "self"}
	for i := range n {
		p := peer(i, Nodes)
		p.Incarnation, p.Sequence, p.Revision, p.Age = "0190f3a2-7c1b-7def-8123-456789abcdef", 1000, 1000, time.Second
		told.Peers = append(told.Peers, p)
	}
	if _, err := pool.Exchange(ctx, to, told); err != nil {
		return asked{}, err
	}
	const times = 200
	moved, cpu := counted.bytes.Load(), cpuTime()
	for range times {
		if _, err := pool.Exchange(ctx, to, told); err != nil {
			return asked{}, err
		}
	}
	return asked{
		bytes: float64(counted.bytes.Load()-moved) / times, cpu: (cpuTime() - cpu) / times,
	}, nil
}
