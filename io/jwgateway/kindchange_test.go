package jwgateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
)

// While a request is at its target, an entry comes into force by which it must run once: it must not be sent again
// after its target has failed, neither by the node that its caller chose nor by one that it was forwarded to.
func TestKindThatChangesDuringARequest(t *testing.T) {
	t.Parallel()
	added := slowRoute("/new/", "idempotent", "")
	cases := map[string][]string{
		"kind changed":        {slowRoute("/a/", "non_idempotent", ""), added},
		"longer prefix added": {slowRoute("/a/", "idempotent", ""), slowRoute("/a/x/", "non_idempotent", ""), added},
	}
	for name, routes := range cases {
		for _, region := range []string{"north", "south"} {
			t.Run(name+", "+region, func(t *testing.T) {
				t.Parallel()
				var feed jwstore.MemoryFeed
				arrived, fail := make(chan struct{}, 10), make(chan struct{})
				var targets []*target
				for _, id := range []string{"t1", "t2"} {
					targets = append(targets, startTarget(t, &feed, id, "s", "north-a", func(_ http.ResponseWriter, r *http.Request) {
						if r.URL.Path != "/a/x/y" {
							return
						}
						arrived <- struct{}{}
						<-fail
						panic(http.ErrAbortHandler)
					}))
				}
				configure(&feed, 1, slowRoute("/a/", "idempotent", ""))
				nodes := map[string]node{"north": start(t, &feed, "n1", "north"), "south": start(t, &feed, "n2", "south")}
				n := nodes[region]
				sendUntil(t, n, "/a/w", served)
				status := make(chan int)
				go func() {
					r, _ := send(t, n, http.MethodPost, "/a/x/y", "one", http.Header{"Jujubewheel-Deadline-Ms": {"60000"}}, "")
					status <- r.status
				}()
				<-arrived
				configure(&feed, 2, routes...)
				for _, other := range nodes {
					sendUntil(t, other, "/new/x", served)
				}
				close(fail)
				assert.Equal(t, <-status, http.StatusBadGateway)
				runs := 0
				for _, x := range targets {
					for _, r := range x.requests() {
						if r.path == "/a/x/y" {
							runs++
						}
					}
				}
				assert.Equal(t, runs, 1)
			})
		}
	}
}
