package jwgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwlog"
	"jujubewheel/io/jwsettings"
)

// unframed answers with a stream that has neither a length nor chunks and ends with its connection.
func unframed(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nJujubewheel-Request-Id: %s\r\nJujubewheel-Server-Seal: s\r\n\r\n%s",
			r.Header.Get("Jujubewheel-Request-Id"), text)
		buf.Flush()
	}
}

// chunked answers with a stream that ends with its last chunk.
func chunked(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, text)
	}
}

// withLength answers with a stream that has a length.
func withLength(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	}
}

// streamEnds are the ends of a stream that has begun with an event, and whether they are inside
// another event.
var streamEnds = map[string]struct {
	text   string
	broken bool
}{
	"whole":                            {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
	"whole, CRLF":                      {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", false},
	"whole, CR":                        {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", false},
	"whole, mixed":                     {"id: 1\r\ndata: a\n\r\nid: 2\rdata: b\n\r", false},
	"blank line after an event":        {"id: 1\ndata: a\n\n\n", false},
	"in an id":                         {"id: 1\ndata: a\n\nid: 2", true},
	"in data":                          {"id: 1\ndata: a\n\nid: 2\ndata: b", true},
	"before the line end, CRLF":        {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r", true},
	"before the blank line":            {"id: 1\ndata: a\n\nid: 2\ndata: b\n", true},
	"before the blank line, CRLF":      {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n", true},
	"before the blank line, CR":        {"id: 1\rdata: a\r\rid: 2\rdata: b\r", true},
	"in a long event":                  {"id: 1\ndata: a\n\nid: 2\ndata: " + strings.Repeat("b", 9000), true},
	"in a comment":                     {"id: 1\ndata: a\n\n: ke", true},
	"in data of several lines":         {"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n", true},
	"in the data of the only event":    {"id: 1\ndata: a", true},
	"before the only event's last end": {"id: 1\ndata: a\n", true},
}

// A target breaks off its stream, but by the framing its answer is complete: it must not look complete
// to the caller.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	t.Parallel()
	framings := map[string]func(string) http.HandlerFunc{"connection": unframed, "chunks": chunked, "length": withLength}
	for framing, answer := range framings {
		for _, overload := range []jwsettings.OverloadMode{jwsettings.OverloadOff, jwsettings.OverloadOn} {
			t.Run(framing+", overload control "+string(overload), func(t *testing.T) {
				t.Parallel()
				var feed jwstore.MemoryFeed
				startTarget(t, &feed, "t1", "s", "north-a", func(w http.ResponseWriter, r *http.Request) {
					answer(streamEnds[r.URL.Query().Get("end")].text)(w, r)
				})
				configure(&feed, 1, route("/a/", "stream", ""))
				change := func(g *jwgateway.Gateway) { g.Settings.Gateway.Overload = overload }
				nodes := map[string]node{"here": startWith(t, &feed, "n1", "north", change), "forwarded": startWith(t, &feed, "n2", "south", change)}
				for path, n := range nodes {
					for end, c := range streamEnds {
						t.Run(path+", "+end, func(t *testing.T) {
							checkStreamEnd(t, n, "/a/x?end="+url.QueryEscape(end), c.text, c.broken)
						})
					}
				}
			})
		}
	}
}

// checkStreamEnd sends requests until one is sent to a target, and checks how its answer ends.
func checkStreamEnd(t *testing.T, n node, path, text string, broken bool) {
	t.Helper()
	r := sendUntil(t, n, path, func(r reply) bool { return r.status == http.StatusOK || r.status == http.StatusBadGateway })
	if !broken {
		assert.Equal(t, r.status, http.StatusOK)
		assert.NilError(t, r.err)
		assert.Equal(t, r.body, text)
		return
	}
	if r.status == http.StatusBadGateway {
		assert.Assert(t, !strings.Contains(r.body, "id:"), r.body)
		return
	}
	assert.Assert(t, r.err != nil, "%q looks complete", r.body)
	assert.Assert(t, strings.HasPrefix(text, r.body), r.body)
	end := r.body[strings.LastIndex(r.body, "a")+1:]
	assert.Assert(t, end == "\n\n" || end == "\r\n\r\n" || end == "\r\r", "%q ends inside an event", r.body)
}

// A stream without framing and without any event may be one that broke off before its first.
func TestEmptyUnframedStreamIsNotServed(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", unframed(""))
	configure(&feed, 1, route("/a/", "stream", ""))
	n := start(t, &feed, "n1", "north")
	r := sendUntil(t, n, "/a/x", func(r reply) bool { return r.status != http.StatusServiceUnavailable })
	assert.Equal(t, r.status, http.StatusBadGateway)
}

// A stream that breaks off inside an event goes on at another target after its last whole event,
// whatever its line ends are.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ first, rest string }{
		"LF":   {"id: 1\ndata: a\n\nid: 2\nda", "id: 2\ndata: b\n\n"},
		"CRLF": {"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda", "id: 2\r\ndata: b\r\n\r\n"},
		"CR":   {"id: 1\rdata: a\r\rid: 2\rda", "id: 2\rdata: b\r\r"},
	} {
		for _, region := range []string{"north", "south"} {
			t.Run(name+", "+region, func(t *testing.T) {
				t.Parallel()
				var feed jwstore.MemoryFeed
				serve := func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Last-Event-Id") == "1" {
						unframed(c.rest)(w, r)
						return
					}
					unframed(c.first)(w, r)
				}
				startTarget(t, &feed, "t1", "s", "north-a", serve)
				startTarget(t, &feed, "t2", "s", "north-a", serve)
				configure(&feed, 1, route("/a/", "stream", `,"Resumable":true`))
				nodes := map[string]node{"north": start(t, &feed, "n1", "north"), "south": start(t, &feed, "n2", "south")}
				r := sendUntil(t, nodes[region], "/a/x", served)
				assert.NilError(t, r.err)
				end := strings.Index(c.first, "id: 2")
				assert.Equal(t, r.body, c.first[:end]+c.rest)
			})
		}
	}
}

// The log must show how an answer was framed and whether it ended inside an event.
func TestFramingIsLogged(t *testing.T) {
	t.Parallel()
	var feed jwstore.MemoryFeed
	startTarget(t, &feed, "t1", "s", "north-a", unframed("id: 1\ndata: a\n\nid: 2\nda"))
	configure(&feed, 1, route("/a/", "stream", ""))
	var log lockedBuffer
	n := startWith(t, &feed, "n1", "north", func(g *jwgateway.Gateway) { g.Decisions = jwlog.NewDecisions(&log, &log, "n1") })
	sendUntil(t, n, "/a/x", served)
	eventually(t, func() bool { return strings.Contains(log.String(), `"framing":"connection","partialBytes":8`) })
}
