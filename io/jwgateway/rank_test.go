package jwgateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwstore"
	"jujubewheel/io/jwgateway"
	"jujubewheel/io/jwsettings"
)

// Targets of both regions get the rank that the first node gave the request, and without overload
// control the priority of the entry.
func TestTargetsGetTheRank(t *testing.T) {
	t.Parallel()
	for mode, want := range map[jwsettings.OverloadMode]string{jwsettings.OverloadOn: "4", jwsettings.OverloadOff: "1"} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			var feed jwstore.MemoryFeed
			here := startTarget(t, &feed, "t1", "s", "north-a", respondText("north"))
			there := startTarget(t, &feed, "t2", "s", "south-a", respondText("south"))
			configure(&feed, 1, route("/w/", "idempotent", `,"Priority":1`), route("/far/", "idempotent", `,"Priority":1,"HomeRegions":["south"]`))
			setMode := func(g *jwgateway.Gateway) { g.Settings.Gateway.Overload = mode }
			north := startWith(t, &feed, "n1", "north", setMode)
			startWith(t, &feed, "n2", "south", setMode, north.nodes)
			sendUntil(t, north, "/w/x", served)
			sendUntil(t, north, "/far/x", served)
			prompt := http.Header{"Jujubewheel-Token-Count": {"100,10"}}
			for path, x := range map[string]*target{"/w/x": here, "/far/x": there} {
				r, err := send(t, north, http.MethodPost, path, "prompt"+path, prompt, "body")
				assert.NilError(t, err)
				assert.Equal(t, r.status, http.StatusOK)
				all := x.requests()
				assert.Equal(t, all[len(all)-1].header.Get("Jujubewheel-Request-Priority"), want, path)
			}
		})
	}
}
