package jwstand

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// startEcho starts a server that sends back every byte it receives.
func startEcho(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return addressOf(listener)
}

func startLink(t *testing.T, conditions Conditions) *Link {
	t.Helper()
	link := &Link{Name: "l", Listen: anyPort, Dial: startEcho(t), Seed: 1}
	link.SetConditions(conditions)
	links := &Links{Control: anyPort, Links: []*Link{link}}
	assert.NilError(t, links.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- links.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return link
}

func dial(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends text and reads as many bytes back.
func exchange(conn net.Conn, text string, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, len(text)))
	return err
}

const (
	longTimeout  = 10 * time.Second       // for what must happen
	shortTimeout = 100 * time.Millisecond // for what must not happen
)

func TestLinkDeliversInOrder(t *testing.T) {
	link := startLink(t, Conditions{
		Delay:  Duration(2 * time.Millisecond),
		Jitter: Duration(time.Millisecond),
		Loss:   0.5, LossDelay: Duration(3 * time.Millisecond),
		Rate: 100 << 20,
	})
	conn := dial(t, link.Listen)
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(i * 7 >> 3)
	}
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(longTimeout)))
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Check(t, string(got) == string(sent), "all bytes arrive in order")
	assert.Equal(t, link.Passed(Forward), uint64(len(sent)))
}

func TestDeliveryTime(t *testing.T) {
	link := &Link{Listen: anyPort, Dial: anyPort}
	assert.NilError(t, link.open())
	defer link.close()
	link.SetConditions(Conditions{Rate: 1000, Delay: Duration(time.Hour)})
	first := link.deliveryTime(Forward, 1000, time.Time{})
	second := link.deliveryTime(Forward, 1000, first)
	assert.Equal(t, second.Sub(first), time.Second, "chunks share the rate")
	back := link.deliveryTime(Back, 1, time.Time{})
	assert.Check(t, back.Before(first), "each direction has its own rate")
	link.SetConditions(Conditions{})
	assert.Equal(t, link.deliveryTime(Forward, 1, second), second, "a chunk is never delivered before the one ahead of it")
}

// Two regions lose the connection to each other. Open connections fail with an
// error and new ones are refused, so that both sides notice. Once the link is
// restored, new connections work again.
func TestLinkCut(t *testing.T) {
	link := startLink(t, Conditions{})
	conn := dial(t, link.Listen)
	assert.NilError(t, exchange(conn, "one", longTimeout))
	link.SetConditions(Conditions{Cut: true})
	err := exchange(conn, "two", longTimeout)
	assert.Check(t, err != nil && !os.IsTimeout(err), "%v", err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", link.Listen.String())
		if err != nil {
			return poll.Success()
		}
		_ = conn.Close()
		return poll.Continue("still accepts")
	})
	link.SetConditions(Conditions{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		conn, err := net.Dial("tcp", link.Listen.String())
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer conn.Close()
		if err := exchange(conn, "three", longTimeout); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	})
}

// A device between two hosts, such as a NAT, loses the state of an open
// connection. Neither end gets an error: what is sent is never answered, while
// a new connection works.
func TestLinkSilent(t *testing.T) {
	link := startLink(t, Conditions{})
	old := dial(t, link.Listen)
	assert.NilError(t, exchange(old, "one", longTimeout))
	link.SetConditions(Conditions{Silent: true})
	assert.Check(t, os.IsTimeout(exchange(old, "two", shortTimeout)))
	assert.NilError(t, exchange(dial(t, link.Listen), "three", longTimeout))
	link.SetConditions(Conditions{})
	assert.Check(t, os.IsTimeout(exchange(old, "four", shortTimeout)), "an old connection stays silent")
	link.SetConditions(Conditions{SilentNew: true})
	assert.Check(t, os.IsTimeout(exchange(dial(t, link.Listen), "five", shortTimeout)))
}

// Bytes pass in one direction only. A caller's request arrives and is run, but
// the caller gets no answer until the other direction works again.
func TestLinkHoldsOneDirection(t *testing.T) {
	link := startLink(t, Conditions{Hold: Back})
	conn := dial(t, link.Listen)
	assert.Check(t, os.IsTimeout(exchange(conn, "one", shortTimeout)))
	assert.Equal(t, link.Passed(Forward), uint64(3))
	assert.Equal(t, link.Passed(Back), uint64(0))
	link.SetConditions(Conditions{})
	assert.NilError(t, conn.SetDeadline(time.Now().Add(longTimeout)))
	got := make([]byte, 3)
	_, err := io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "one")
}
