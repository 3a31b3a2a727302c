package jwgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// startReadingTarget starts a target that reads request bodies itself and reports on its channels
// the beginning and the end of each.
func startReadingTarget(t *testing.T, feed *jwstore.MemoryFeed, id, dataCentre string, status int) (started chan string, ended chan error) {
	t.Helper()
	started, ended = make(chan string, 8), make(chan error, 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Jujubewheel-Request-Id", r.Header.Get("Jujubewheel-Request-Id"))
		w.Header().Set("Jujubewheel-Server-Seal", "seal-"+id)
		if r.Method == http.MethodGet || r.Header.Get("Jujubewheel-Request-Id") == "" {
			return // a node of another test process may call an address that its peer had
		}
		first := make([]byte, 1)
		_, _ = io.ReadFull(r.Body, first)
		started <- fmt.Sprintf("%s %d %v", first, r.ContentLength, r.TransferEncoding)
		n, err := io.Copy(io.Discard, r.Body)
		ended <- err
		w.WriteHeader(status)
		fmt.Fprint(w, n+1)
	}))
	t.Cleanup(s.Close)
	register(feed, id, "s", s.Listener.Addr().String(), dataCentre, "ready")
	return started, ended
}

// post begins a request whose body the test writes itself; a length of -1 means chunked encoding.
func post(t *testing.T, n node, id string, length int) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", n.callers.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Deadline-Ms: 5000\r\n%s\r\n\r\n", id, framing)
	assert.NilError(t, err)
	return c, bufio.NewReader(c)
}

func configureLargeBodies(feed *jwstore.MemoryFeed, limit int, homes string) {
	feed.Write("op/config", fmt.Appendf(nil, `{"Version":1,"Routes":[%s,%s],"Services":[{"Name":"s","WarmupS":0,"WarmupPerS":0}],
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":%d,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		route("/a/", "idempotent", homes), route("/w/", "idempotent", ""), limit))
}

const (
	largePart = 80 << 10 // more than a node buffers of a body
	maxBody   = 1 << 20
)

// A large body is streamed to the target while the caller still sends it. If nodes buffered
// complete bodies, a few large ones would exhaust a node's memory, and targets would start late.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	part := strings.Repeat("a", largePart)
	cases := map[string]struct {
		length int
		homes  string // home regions of the entry, as JSON
		write  [2]string
		begun  string
		body   string
	}{
		"sized":               {2 * largePart, "", [2]string{part, part}, "a 163840 []", "163840"},
		"in chunks":           {-1, "", [2]string{fmt.Sprintf("%x\r\n%s\r\n", largePart, part), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", largePart, part)}, "a -1 [chunked]", "163840"},
		"sized, other region": {2 * largePart, `,"HomeRegions":["south"]`, [2]string{part, part}, "a 163840 []", "163840"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			dataCentre := "north-a"
			if c.homes != "" {
				dataCentre = "south-a"
			}
			started, ended := startReadingTarget(t, &feed, "t1", dataCentre, http.StatusOK)
			configureLargeBodies(&feed, maxBody, c.homes)
			n := start(t, &feed, "n1", "north")
			if c.homes != "" {
				start(t, &feed, "n2", "south")
			}
			sendUntil(t, n, "/a/x", served)
			cn, r := post(t, n, "one", c.length)
			_, err := io.WriteString(cn, c.write[0])
			assert.NilError(t, err)
			assert.Equal(t, <-started, c.begun) // the target started with half of the body still to come
			_, err = io.WriteString(cn, c.write[1])
			assert.NilError(t, err)
			assert.NilError(t, <-ended)
			res, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			text, err := io.ReadAll(res.Body)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.Equal(t, string(text), c.body)
			assert.NilError(t, res.Body.Close())
		})
	}
}

// The caller disconnects within a large body. The target must see an incomplete body: otherwise it
// would run a request that no caller sent.
func TestLargeBodyBrokenOff(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	started, ended := startReadingTarget(t, &feed, "t1", "north-a", http.StatusOK)
	configureLargeBodies(&feed, maxBody, "")
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/w/x", served)
	for name, length := range map[string]int{"sized": 2 * largePart, "in chunks": -1} {
		cn, _ := post(t, n, name, length)
		body := strings.Repeat("a", largePart)
		if length < 0 {
			body = fmt.Sprintf("%x\r\n%s\r\n", largePart, body)
		}
		_, err := io.WriteString(cn, body)
		assert.NilError(t, err)
		<-started
		assert.NilError(t, cn.Close())
		assert.Assert(t, <-ended != nil, name)
	}
}

// A chunked body exceeds the limit of the configuration, which the node detects only after it has
// sent a part to the target. The caller must get status 413.
func TestLargeBodyTooLarge(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	started, ended := startReadingTarget(t, &feed, "t1", "north-a", http.StatusOK)
	configureLargeBodies(&feed, largePart+1, "")
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/w/x", served)
	cn, r := post(t, n, "one", -1)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", largePart, strings.Repeat("a", largePart))
	_, err := io.WriteString(cn, chunk)
	assert.NilError(t, err)
	<-started
	_, err = io.WriteString(cn, chunk)
	assert.NilError(t, err)
	res, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
	assert.NilError(t, res.Body.Close())
	assert.Assert(t, <-ended != nil)
}

// A target fails after a large body was streamed to it. The request must not be sent to another
// target, because the body is not buffered.
func TestLargeBodyIsSentOnce(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	started, _ := startReadingTarget(t, &feed, "t1", "north-a", http.StatusInternalServerError)
	others, _ := startReadingTarget(t, &feed, "t2", "north-a", http.StatusInternalServerError)
	configureLargeBodies(&feed, maxBody, "")
	n := start(t, &feed, "n1", "north")
	sendUntil(t, n, "/w/x", served)
	cn, r := post(t, n, "one", 2*largePart)
	_, err := io.WriteString(cn, strings.Repeat("a", 2*largePart))
	assert.NilError(t, err)
	res, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusInternalServerError)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, len(started)+len(others), 1)
}
