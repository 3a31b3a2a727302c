package jwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwsettings"
)

// A caller pauses inside its body. It must have an answer by the time-out of its entry all the same, one
// that is true: not run only where no target has got the request.
func TestPausingCallerIsAnswered(t *testing.T) {
	t.Parallel()
	const ok, refused = "200 OK\r\nJujubewheel-Server-Seal: seal-t1", "503 Service Unavailable\r\nJujubewheel-Not-Run: 1"
	cases := map[string]struct {
		size, sent int
		answer     string // of the target, which reads the whole body before it
		read       int64  // what it reads of the body instead, negative for all
		status     int
	}{
		"short body, nothing sent":           {10 << 10, 0, ok, -1, http.StatusRequestTimeout},
		"short body, a part":                 {50 << 10, 10 << 10, ok, -1, http.StatusRequestTimeout},
		"long body, within what is buffered": {200 << 10, 10 << 10, ok, -1, http.StatusRequestTimeout},
		"long body, the target waits for it": {200 << 10, 80 << 10, ok, -1, http.StatusGatewayTimeout},
		"long body, the target refuses":      {200 << 10, 80 << 10, refused, 0, http.StatusServiceUnavailable},
		"long body, the target fails":        {200 << 10, 80 << 10, "500 Failed\r\nJujubewheel-Server-Seal: seal-t1", 0, http.StatusInternalServerError},
	}
	for name, c := range cases {
		for _, overload := range []jwsettings.OverloadMode{jwsettings.OverloadOff, jwsettings.OverloadOn} {
			for _, place := range []string{"here", "forwarded"} {
				for _, chunked := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, overload control %s, chunked %t", name, place, overload, chunked), func(t *testing.T) {
						t.Parallel()
						read := c.read
						if read < 0 {
							read = int64(c.size)
						}
						var feed jwstore.MemoryFeed
						startEarlyTarget(t, &feed, read, c.answer)
						configureLargeBodies(&feed, maxBody, "")
						change := func(g *jwgateway.Gateway) { g.Settings.Gateway.Overload = overload }
						n := startWith(t, &feed, "n1", "north", change)
						if place == "forwarded" {
							n = startWith(t, &feed, "n2", "south", change)
						}
						sendUntil(t, n, "/w/x", served)
						cn, err := net.Dial("tcp", n.callers.String())
						assert.NilError(t, err)
						defer func() { _ = cn.Close() }()
						_ = cn.SetReadDeadline(time.Now().Add(10 * time.Second))
						framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", c.size)
						if chunked {
							framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", c.size)
						}
						_, err = fmt.Fprintf(cn, "POST /w/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: one\r\nJujubewheel-Deadline-Ms: 2000\r\n%s%s",
							framing, strings.Repeat("a", c.sent))
						assert.NilError(t, err)
						r := bufio.NewReader(cn)
						res, err := http.ReadResponse(r, nil)
						assert.NilError(t, err)
						_, err = io.ReadAll(res.Body)
						assert.NilError(t, err)
						assert.Equal(t, res.StatusCode, c.status)
						_, err = r.ReadByte()
						assert.ErrorIs(t, err, io.EOF)
					})
				}
			}
		}
	}
}
