package jwgateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwentry"
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
