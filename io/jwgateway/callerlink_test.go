package jwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwconn"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwsettings"
)

// A caller loses its path to the node, which gets no more acknowledgements of the events that it sends: the run must
// end, since the caller takes its stream up elsewhere.
func TestStreamEndsWithoutAcknowledgements(t *testing.T) {
	t.Parallel()
	var runs atomic.Int32
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", endlessStream(&runs))
	configure(&feed, 1, slowRoute("/a/", "stream", `,"Resumable":true`))
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/a/w", served)
	c, err := net.Dial("tcp", n.callers.String())
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "GET /a/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: first\r\nJujubewheel-Deadline-Ms: 120000\r\n\r\n")
	r := bufio.NewReader(c)
	_, err = r.ReadString('\n')
	assert.NilError(t, err)
	eventually(t, func() bool { return runs.Load() == 1 })
	dropIncoming(t, c.(*net.TCPConn))
	eventually(t, func() bool { return runs.Load() == 0 })
}

// dropIncoming makes the system drop all packets that arrive for a connection.
func dropIncoming(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	assert.NilError(t, err)
	const accept = 0 // bytes of each packet
	var filterErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		filterErr = syscall.AttachLsf(int(fd), []syscall.SockFilter{*syscall.LsfStmt(syscall.BPF_RET|syscall.BPF_K, accept)})
	}))
	assert.NilError(t, filterErr)
}

// A caller reads nothing of a stream for longer than bytes may stay unacknowledged and than a target may pause: it is
// slow and not gone, and must get the whole stream.
func TestSlowCallerIsNotTakenForGone(t *testing.T) {
	t.Parallel()
	for _, overload := range []jwsettings.OverloadMode{jwsettings.OverloadOff, jwsettings.OverloadOn} {
		t.Run("overload control "+string(overload), func(t *testing.T) {
			t.Parallel()
			const count, size = 400, 32 << 10 // more than the connections hold
			var feed jwstore.MemoryFeed
			startTarget(t, &feed, "t1", "s", "north-a", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for i := range count {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", size))
					_ = http.NewResponseController(w).Flush()
				}
			})
			configure(&feed, 1, slowRoute("/a/", "stream", `,"Resumable":true`))
			n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Settings.Gateway.Overload = overload })
			sendUntil(t, n, "/none", func(r reply) bool { return r.status == http.StatusNotFound })
			body := openStream(t, n, "first", "")
			defer body.Close()
			time.Sleep(2*jwconn.UserTimeout + time.Second)
			text, err := io.ReadAll(body)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(text), "data: "), count)
		})
	}
}
