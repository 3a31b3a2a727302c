package jwgateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwentry"
	"jujubewheel/core/jwinstance"
	"jujubewheel/core/jwversion"
	"jujubewheel/io/jwsettings"
)

// A node that doesn't know of a second version must not overrule one that does.
func TestCombinedVersions(t *testing.T) {
	sole := func(version string) versionsOf { return versionsOf{soleVersion, version} }
	several, unknown := versionsOf{Known: severalVersions}, versionsOf{}
	cases := map[string]struct{ a, b, want versionsOf }{
		"both unknown":        {unknown, unknown, unknown},
		"one knows":           {unknown, sole("v1"), sole("v1")},
		"both know":           {sole("v1"), sole("v1"), sole("v1")},
		"they differ":         {sole("v1"), sole("v2"), several},
		"one knows of more":   {sole("v1"), several, several},
		"unknown and several": {unknown, several, several},
		"both know of more":   {several, several, several},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.a.with(c.b), c.want)
			assert.Equal(t, c.b.with(c.a), c.want)
		})
	}
}

// Streams of a service may be taken up for as long as its longest resumable entry allows, whichever
// entries a configuration sends there.
func TestStreamLives(t *testing.T) {
	entry := func(kind jwentry.Kind, resumable bool, timeout time.Duration, services ...string) *jwentry.Entry {
		e := &jwentry.Entry{Kind: kind, Resumable: resumable, Timeout: timeout}
		for _, s := range services {
			e.Destinations = append(e.Destinations, jwentry.Destination{Service: s})
		}
		return e
	}
	l := newStreamLives(&jwentry.Config{Entries: []*jwentry.Entry{
		entry(jwentry.Stream, true, 5*time.Second, "a", "b"),
		entry(jwentry.Stream, true, 8*time.Second, "b"),
		entry(jwentry.Stream, true, 100*time.Millisecond, "short"),
		entry(jwentry.Stream, true, time.Hour, "long"),
		entry(jwentry.Stream, true, 0, "none"),
		entry(jwentry.Stream, false, 5*time.Second, "plain"),
		entry(jwentry.Idempotent, false, 5*time.Second, "plain"),
	}})
	assert.DeepEqual(t, l.byService, map[string]time.Duration{
		"a": 10 * time.Second, "b": 16 * time.Second, "short": minStreamLife, "long": maxStreamLife, "none": 2 * defaultDeadline,
	})
}

// A stream that goes on waits for room like any other request while its service has one version. With
// several, the room is that of targets that may not run it.
func TestPinnedRequestWaitsForRoom(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		waits    bool
	}{
		"one version":  {[]string{"v1"}, true},
		"two versions": {[]string{"v1", "v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := roomGateway(0, 4, jwsettings.WaitAtNode)
			g.storeWatcher = newStoreWatcher(g.Gateway)
			now := time.Now()
			for i, v := range c.versions {
				g.targets.Put(now, jwinstance.Instance{ID: v, Service: "s", Region: "r", Version: v, Slots: 4, StartedAt: int64(i + 1)})
			}
			g.versionsSince.Store(1)
			now = now.Add(maxStreamLife)
			g.storeReadAt.Store(int64(now.Sub(g.startTime)))
			q := roomRequest("q", 0, 100, time.Second)
			assert.Assert(t, g.pinVersion(now, q))
			assert.Assert(t, !q.pinned && g.waitsForRoom(q), "it doesn't go on")
			q.LastEvent, q.origin = "3", &jwversion.Origin{Version: "v1"}
			assert.Assert(t, g.pinVersion(now, q))
			assert.Equal(t, q.pinnedVersion, "v1")
			assert.Equal(t, g.waitsForRoom(q), c.waits)
		})
	}
}
