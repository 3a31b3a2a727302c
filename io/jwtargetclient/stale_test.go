package jwtargetclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwtargetclient"
)

// A target closes its connections while no call is in flight, and the next call goes over one of them before the client has
// noticed: it must not count as a crash of the target by that call.
func TestStaleConnectionIsNoCrash(t *testing.T) {
	for range 100 {
		var mu sync.Mutex
		var conns []net.Conn
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "fine")
		}))
		s.Config.ConnState = func(c net.Conn, state http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			if state == http.StateNew {
				conns = append(conns, c)
			}
		}
		s.Start()
		addr := netip.MustParseAddrPort(s.Listener.Addr().String())
		var client jwtargetclient.Client
		call := jwdispatch.TargetCall{Request: &jwrequest.Request{ID: "r", Body: []byte("body")}, Path: "/x", Idempotent: true}
		a, err := client.Call(context.Background(), addr, call)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, a.Body)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		_ = s.Listener.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		mu.Unlock()
		_, err = client.Call(context.Background(), addr, call)
		var failed *jwdispatch.CallError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		assert.Assert(t, !failed.Crashed, "%v", err)
		s.Close()
	}
}
