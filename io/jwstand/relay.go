package jwstand

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	chunkSize      = 16 << 10 // bytes read at once
	chunksInFlight = 256      // per direction of a connection, which makes 4 MB
)

// relay is one connection through a link.
type relay struct {
	link        *Link
	client      net.Conn // the accepted connection
	mu          sync.Mutex
	server      net.Conn // the dialled connection; nil until dialled
	closed      bool
	silenceOnce sync.Once
	silenced    chan struct{} // closed once all bytes are discarded
	ended       chan struct{} // closed once the relay is closed
}

// setServer adds the dialled connection. It returns false if the relay was
// closed in the meantime.
func (r *relay) setServer(server net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = server.Close()
		return false
	}
	r.server = server
	return true
}

// silence makes the relay discard all bytes from now on, without an error.
func (r *relay) silence() {
	r.silenceOnce.Do(func() { close(r.silenced) })
}

// reset closes both connections with a TCP reset; bytes in flight are lost.
func (r *relay) reset() { r.closeConns(true) }

// closeConns closes both connections once. A regular end must not reset them:
// that would discard bytes that the receiver has not read yet.
func (r *relay) closeConns(reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.ended)
	for _, conn := range []net.Conn{r.client, r.server} {
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			continue // not dialled yet
		}
		if reset {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = tcp.Close()
	}
}

// chunk is the data of one read and its delivery time. An empty chunk marks the
// end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// forward relays bytes from one connection to the other until reading fails or
// ends.
func (r *relay) forward(direction Direction, from, to net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	var wg sync.WaitGroup
	wg.Go(func() { r.deliver(direction, to, chunks) })
	var previous time.Time
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		if n > 0 {
			previous = r.link.deliveryTime(direction, n, previous)
			chunks <- chunk{data: buf[:n], due: previous}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			chunks <- chunk{due: r.link.deliveryTime(direction, 0, previous)}
		} else if !r.isSilenced() {
			r.reset()
		}
		break
	}
	close(chunks)
	wg.Wait()
}

// deliver writes chunks when they are due. After an error it discards further
// chunks, so that forward never blocks on a full channel.
func (r *relay) deliver(direction Direction, to net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		if !r.waitUntilDue(direction, c.due) {
			continue
		}
		if len(c.data) == 0 {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails only if the connection is closed already
			}
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			r.reset()
			continue
		}
		r.link.countPassed(direction, len(c.data))
	}
}

// waitUntilDue waits until a chunk may be delivered. It returns false if the
// chunk must be dropped, since the relay is silenced or closed.
func (r *relay) waitUntilDue(direction Direction, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ended:
		return false
	}
	for {
		if r.isSilenced() {
			return false
		}
		r.link.mu.Lock()
		held, changed := r.link.conditions.Hold == direction, r.link.changed
		r.link.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-r.silenced:
		case <-r.ended:
			return false
		}
	}
}

func (r *relay) isSilenced() bool {
	select {
	case <-r.silenced:
		return true
	default:
		return false
	}
}
