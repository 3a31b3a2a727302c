package jwentry

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func config(version uint64, entries ...*Entry) *Config {
	return (&Config{Version: version, Entries: entries}).Index()
}

func TestMatch(t *testing.T) {
	c := config(
		1,
		&Entry{Name: "short", Host: "a.example", Prefix: "/menu/"},
		&Entry{Name: "long", Host: "a.example", Prefix: "/menu/draft/"},
		&Entry{Name: "other", Host: "b.example", Prefix: "/menu/"},
	)
	cases := map[string]struct{ host, path, want string }{
		"the only prefix":          {"a.example", "/menu/x", "short"},
		"the longest of two":       {"a.example", "/menu/draft/x", "long"},
		"the prefix itself":        {"a.example", "/menu/draft/", "long"},
		"part of a segment":        {"a.example", "/menu/drafts", "short"},
		"no slash at the end":      {"a.example", "/menu", ""},
		"another host":             {"b.example", "/menu/draft/x", "other"},
		"a host that has no entry": {"c.example", "/menu/x", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if e := c.Match(tc.host, tc.path); e != nil {
				got = e.Name
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

func TestRepeatable(t *testing.T) {
	cases := map[string]struct {
		entry Entry
		want  bool
	}{
		"idempotent":               {Entry{Kind: Idempotent}, true},
		"non-idempotent":           {Entry{Kind: NonIdempotent}, false},
		"stream":                   {Entry{Kind: Stream}, false},
		"resumable stream":         {Entry{Kind: Stream, Resumable: true}, true},
		"resumable, but no stream": {Entry{Kind: NonIdempotent, Resumable: true}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.entry.Retryable(), c.want) })
	}
}

func TestChoose(t *testing.T) {
	e := Entry{Destinations: []Destination{{"a", 90}, {"b", 10}}}
	cases := map[string]struct {
		point float64
		want  string
	}{
		"the first":          {0, "a"},
		"just inside it":     {0.89, "a"},
		"the second":         {0.91, "b"},
		"the end":            {0.9999999, "b"},
		"beyond by rounding": {1, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, e.Choose(c.point), c.want) })
	}
	assert.Equal(t, (&Entry{}).Choose(0.5), "")
}

// A source that is behind, such as a peer or a stale read, may offer an older
// configuration after a newer one. Accepting it would undo a change.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		newest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			accepted := table.Put(config(v))
			if accepted != (v > newest) {
				t.Fatalf("version %d after %d: accepted %v", v, newest, accepted)
			}
			newest = max(newest, v)
			if table.Version() != newest {
				t.Fatalf("version %d in force, want %d", table.Version(), newest)
			}
		}
	})
}

func TestStandIns(t *testing.T) {
	c := config(
		1,
		&Entry{Host: "a.example", Homes: []string{"north", "east"}},
		&Entry{Host: "a.example", Homes: []string{"north"}},
		&Entry{Host: "b.example", Homes: []string{"west"}},
	)
	east := &Entry{Homes: []string{"east"}}
	cases := map[string]struct {
		requests []*Entry
		choice   []string
		want     []string
	}{
		"before any request, by entries":  {nil, []string{"west", "east", "north"}, []string{"north"}},
		"the best has no node":            {nil, []string{"west", "east"}, []string{"east"}},
		"by requests, once there are any": {[]*Entry{east}, []string{"west", "east", "north"}, []string{"east"}},
		"none may serve them":             {[]*Entry{east}, []string{"west", "south"}, []string{"west", "south"}},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			var d Demand
			for _, e := range x.requests {
				d.Count(e.Homes)
			}
			assert.DeepEqual(t, d.ChooseStandIns(c, "a.example", x.choice), x.want)
		})
	}
}

// BenchmarkMatch measures a lookup among 400 entries. Entries are added and removed all
// day, and the time of a lookup must not grow with their number.
func BenchmarkMatch(b *testing.B) {
	var entries []*Entry
	for i := range 400 {
		entries = append(entries, &Entry{Host: "a.example", Prefix: "/" + string(rune('a'+i%26)) + string(rune('a'+i/26)) + "/"})
	}
	c := config(1, entries...)
	b.ReportAllocs()
	for b.Loop() {
		c.Match("a.example", "/zz/x")
	}
}

// Two sources may deliver the first configuration at the same moment. The channel of
// First must be closed exactly once: a second close would panic.
func TestFirst(t *testing.T) {
	var table Table
	select {
	case <-table.First():
		t.Fatal("First is closed before a configuration is in force")
	default:
	}
	var all sync.WaitGroup
	for version := range 8 {
		all.Go(func() { table.Put(&Config{Version: uint64(version + 1)}) })
	}
	<-table.First()
	all.Wait()
	<-table.First()
	assert.Equal(t, table.Version(), uint64(8))
}

// A node may say for certain what its configuration lacks only while it knows that no later version has to
// be in force.
func TestIsCurrent(t *testing.T) {
	now := time.Now()
	const maxAge = 3 * time.Second
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := map[string]struct {
		versions []uint64 // put into force
		confirm  func(*Table)
		want     bool
	}{
		"never confirmed":            {[]uint64{4}, func(*Table) {}, false},
		"confirmed in time":          {[]uint64{4}, func(t *Table) { t.Confirm(4, ago(maxAge)) }, true},
		"confirmed too long ago":     {[]uint64{4}, func(t *Table) { t.Confirm(4, ago(maxAge+1)) }, false},
		"an older confirmation last": {[]uint64{4}, func(t *Table) { t.Confirm(4, now); t.Confirm(4, ago(2*maxAge)) }, true},
		"by a source that is behind": {[]uint64{4}, func(t *Table) { t.Confirm(3, now) }, true},
		"a later version exists":     {[]uint64{4}, func(t *Table) { t.Confirm(4, now); t.Confirm(7, now) }, false},
		"and its age isn't known":    {[]uint64{4}, func(t *Table) { t.Confirm(4, now); t.Confirm(7, time.Time{}) }, false},
		"the later version came":     {[]uint64{4, 7}, func(t *Table) { t.Confirm(4, now); t.Confirm(7, time.Time{}) }, true},
		"doubted":                    {[]uint64{4}, func(t *Table) { t.Confirm(4, now); t.Doubt() }, false},
		"confirmed after a doubt":    {[]uint64{4}, func(t *Table) { t.Doubt(); t.Confirm(4, now) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var table Table
			for _, v := range c.versions {
				table.Put(config(v))
			}
			c.confirm(&table)
			assert.Equal(t, table.IsCurrent(now, maxAge), c.want)
		})
	}
}

// A node answers the request that has waited for its first configuration as soon as that is in force. It must
// not take the configuration for outdated in between.
func TestFirstConfigurationIsCurrentAtOnce(t *testing.T) {
	for range 1000 {
		var table Table
		first := table.First()
		start := time.Now()
		go table.PutAsOf(config(1), start)
		<-first
		assert.Assert(t, table.IsCurrent(start, time.Second))
	}
}
