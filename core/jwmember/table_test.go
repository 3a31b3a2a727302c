package jwmember

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

// member returns a node that serves if change is odd.
func member(name, region string, change int) Member {
	return Member{Name: name, Region: region, Start: 1, ServingChanges: change, Serving: change%2 == 1}
}

func names(list []Member) []string {
	out := []string{}
	for _, m := range list {
		out = append(out, m.Name)
	}
	return out
}

func TestLive(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	b := member("b", "r", 1)
	cases := map[string]struct {
		do   func(*Table)
		at   int // milliseconds
		want []string
	}{
		"a new registration counts for a while": {func(t *Table) { t.Put(at(0), b) }, 1000, []string{"a", "b"}},
		// A host lost power right after its node registered. The lease has not
		// ended yet, and callers sent there would get no answer.
		"registered but never seen":                       {func(t *Table) { t.Put(at(0), b) }, 2500, []string{"a"}},
		"seen":                                            {func(t *Table) { t.Put(at(0), b); t.Seen(at(2000), b) }, 4000, []string{"a", "b"}},
		"seen too long ago":                               {func(t *Table) { t.Put(at(0), b); t.Seen(at(0), b) }, 4000, []string{"a"}},
		"seen, then not reachable":                        {func(t *Table) { t.Seen(at(0), b); t.MarkUnreachable(at(100), "b") }, 200, []string{"a"}},
		"not reachable, then seen again":                  {func(t *Table) { t.Seen(at(0), b); t.MarkUnreachable(at(100), "b"); t.Seen(at(150), b) }, 200, []string{"a", "b"}},
		"its registration is gone, but it reports":        {func(t *Table) { t.Put(at(0), b); t.Seen(at(3000), b); t.Remove("b") }, 3500, []string{"a", "b"}},
		"its registration is gone and it is unresponsive": {func(t *Table) { t.Put(at(0), b); t.Remove("b") }, 1000, []string{"a"}},
		"it reports that it is stopping":                  {func(t *Table) { t.Seen(at(0), b); t.Seen(at(10), member("b", "r", 2)) }, 20, []string{"a"}},
		// The clock was paused with the process, so that old sightings look recent.
		"seen before this process was paused": {func(t *Table) { t.Put(at(0), b); t.Seen(at(10), b); t.Resumed(at(20)) }, 30, []string{"a"}},
		"seen after this process was paused":  {func(t *Table) { t.Seen(at(10), b); t.Resumed(at(20)); t.Seen(at(25), b) }, 30, []string{"a", "b"}},
		"of another region":                   {func(t *Table) { t.Seen(at(0), member("c", "q", 1)) }, 20, []string{"a"}},
		"another node has seen it":            {func(t *Table) { t.Put(at(0), b); t.SeenByOther(at(2900), []string{"b"}) }, 4000, []string{"a", "b"}},
		"another node has seen it, long ago":  {func(t *Table) { t.Put(at(0), b); t.SeenByOther(at(2900), []string{"b"}) }, 5000, []string{"a"}},
		"another node has seen it, this one can't reach it": {func(t *Table) {
			t.Seen(at(0), b)
			t.MarkUnreachable(at(2500), "b")
			t.SeenByOther(at(2900), []string{"b"})
		}, 3000, []string{"a"}},
		// The store may still hold what a stopping node wrote before its stop. If it
		// counted, callers would be sent to a node that is about to exit.
		"the store has an older registration": {func(t *Table) { t.Seen(at(10), member("b", "r", 2)); t.Put(at(20), b) }, 30, []string{"a"}},
		"a new process of the same name": {func(t *Table) {
			t.Seen(at(10), member("b", "r", 2))
			restarted := b
			restarted.Start = 2
			t.Seen(at(20), restarted)
		}, 30, []string{"a", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Self: member("a", "r", 1)}
			c.do(table)
			assert.DeepEqual(t, names(table.Live(at(c.at), "r")), c.want)
		})
	}
}

// Shares of a limit are computed from Count. A node that is no longer seen may be
// running behind a network partition and still use its share.
func TestCountIncludesUnseenNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	table := &Table{Self: member("a", "r", 1)}
	table.Put(now, member("b", "r", 1))
	table.Seen(now, member("c", "r", 1))
	table.Seen(now, member("d", "q", 1))
	table.Remove("b")
	assert.Equal(t, table.Count(now, "r"), 2)
	assert.Equal(t, table.Count(now, ""), 3)
	assert.Equal(t, table.Count(now.Add(30*time.Second), "r"), 2)
	table.Resumed(now.Add(time.Second))
	assert.Equal(t, table.Count(now.Add(30*time.Second), "r"), 2)
	assert.Equal(t, table.Count(now.Add(2*time.Minute), "r"), 1)
}

func TestOneNodeOwnsEachName(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []Member{member("a", "r", 1), member("b", "r", 1), member("c", "r", 1)}
	for _, name := range []string{"t1", "t2", "t3", "t4", "t5"} {
		owners := 0
		for _, self := range all {
			table := &Table{Self: self}
			for _, m := range all {
				table.Seen(now, m)
			}
			if table.Owns(now, name) {
				owners++
			}
		}
		assert.Equal(t, owners, 1, name)
	}
}

// A host lost power and its node runs again. The connections to the previous
// process are dead although nothing closed them, so a restart must be detected.
func TestRestartedProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	table := &Table{Self: member("a", "r", 1)}
	first := member("b", "r", 1)
	restarted := first
	restarted.Start = 2
	assert.Assert(t, !table.Put(now, first), "a node seen for the first time is not restarted")
	assert.Assert(t, !table.Seen(now, first))
	assert.Assert(t, table.Seen(now, restarted))
	assert.Assert(t, !table.Seen(now, restarted))
	assert.Assert(t, !table.Put(now, first), "the store returns an older registration")
}

// A registration that lapses while the store is away does not make the process younger.
func TestFirstRegisteredFor(t *testing.T) {
	t0 := time.Unix(1000, 0)
	self := member("a", "r", 1)
	table := &Table{Self: self}
	assert.Equal(t, table.FirstRegisteredFor(t0), time.Duration(0))
	table.RegistrationRead(t0, self)
	table.Remove("a")
	table.RegistrationRead(t0.Add(2*time.Second), self)
	assert.Equal(t, table.RegisteredFor(t0.Add(3*time.Second)), time.Second)
	assert.Equal(t, table.FirstRegisteredFor(t0.Add(3*time.Second)), 3*time.Second)
}

// A node joins, and a network partition keeps another node of its region from
// learning of it. If each of two old nodes uses half of a limit and the new one a
// third, the limit is exceeded, and targets that come back cold crash again from
// overload.
func TestCountedByAll(t *testing.T) {
	t0 := time.Unix(1000, 0)
	self := member("a", "r", 1)
	earlier := self
	earlier.Start--
	cases := map[string]struct {
		do   func(*Table)
		want bool
	}{
		"alone and not listed":      {func(*Table) {}, false},
		"alone and listed":          {func(t *Table) { t.RegistrationRead(t0.Add(-2*time.Second), self) }, true},
		"listed a moment ago":       {func(t *Table) { t.RegistrationRead(t0, self) }, false},
		"an earlier process listed": {func(t *Table) { t.RegistrationRead(t0.Add(-2*time.Second), earlier) }, false},
		"no longer listed":          {func(t *Table) { t.RegistrationRead(t0.Add(-2*time.Second), self); t.Remove("a") }, false},
		"absent when all was read": {func(t *Table) {
			t.RegistrationRead(t0.Add(-2*time.Second), self)
			t.RemoveExcept(t0, map[string]bool{"b": true})
		}, false},
		"one registered, never seen": {func(t *Table) { listLongAgo(t, t0); t.Put(t0, member("b", "r", 1)) }, false},
		"all seen": {func(t *Table) {
			listLongAgo(t, t0)
			t.Put(t0, member("b", "r", 1))
			t.Seen(t0.Add(-2*time.Second), member("b", "r", 1))
		}, true},
		"seen a moment ago":        {func(t *Table) { listLongAgo(t, t0); t.Put(t0, member("b", "r", 1)); t.Seen(t0, member("b", "r", 1)) }, false},
		"of another region":        {func(t *Table) { listLongAgo(t, t0); t.Put(t0, member("b", "q", 1)) }, true},
		"its registration is gone": {func(t *Table) { listLongAgo(t, t0); t.Put(t0, member("b", "r", 1)); t.Remove("b") }, true},
		"seen, but nearly forgotten": {func(t *Table) {
			listLongAgo(t, t0)
			t.Put(t0, member("b", "r", 1))
			t.Seen(t0.Add(-55*time.Second), member("b", "r", 1))
		}, false},
		"seen before its registration was read": {func(t *Table) {
			listLongAgo(t, t0)
			t.Seen(t0.Add(-2*time.Second), member("b", "r", 1))
			t.Put(t0, member("b", "r", 1))
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Self: self}
			c.do(table)
			assert.Equal(t, table.CountedByAll(t0), c.want)
		})
	}
}

// listLongAgo records that the table's node read its own registration two seconds ago.
func listLongAgo(t *Table, now time.Time) { t.RegistrationRead(now.Add(-2*time.Second), t.Self) }

// If all nodes of a region are stopping, callers are sent to those that still accept
// requests, which they do for a known time after their stop begins. StoppingInRegion must
// return these nodes and how long ago that was.
func TestStoppingInRegion(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	serving := member("b", "r", 1)
	serving.ServingChanges = 1
	stopped := serving
	stopped.Serving, stopped.ServingChanges = false, 2
	starting := member("b", "r", 2)
	starting.Serving, starting.ServingChanges, starting.Start = false, 0, 2
	cases := map[string]struct {
		do   func(*Table)
		want []StoppingNode
	}{
		"serves":                 {func(t *Table) { t.Seen(at(0), serving) }, nil},
		"starts":                 {func(t *Table) { t.Seen(at(0), starting) }, nil},
		"stops":                  {func(t *Table) { t.Seen(at(0), serving); t.Seen(at(time.Second), stopped) }, []StoppingNode{{stopped, 2 * time.Second}}},
		"is seen again":          {func(t *Table) { t.Seen(at(time.Second), stopped); t.Seen(at(2*time.Second), stopped) }, []StoppingNode{{stopped, 2 * time.Second}}},
		"can't be reached since": {func(t *Table) { t.Seen(at(time.Second), stopped); t.MarkUnreachable(at(2*time.Second), "b") }, nil},
		"restarts":               {func(t *Table) { t.Seen(at(time.Second), stopped); t.Seen(at(2*time.Second), starting) }, nil},
		"the store is behind":    {func(t *Table) { t.Seen(at(time.Second), stopped); t.Put(at(2*time.Second), serving) }, []StoppingNode{{stopped, 2 * time.Second}}},
		"is of another region":   {func(t *Table) { m := stopped; m.Region = "q"; t.Seen(at(0), m) }, nil},
		"the node itself":        {func(t *Table) { t.Serve(at(0), true); t.Serve(at(2*time.Second), false) }, []StoppingNode{{Member{Name: "a", Region: "r", Start: 1, ServingChanges: 2}, time.Second}}},
		"the node itself, once more": {func(t *Table) {
			t.Serve(at(0), true)
			t.Serve(at(time.Second), false)
			t.Serve(at(2*time.Second), false)
		}, []StoppingNode{{Member{Name: "a", Region: "r", Start: 1, ServingChanges: 2}, 2 * time.Second}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := &Table{Self: Member{Name: "a", Region: "r", Start: 1}}
			c.do(table)
			assert.DeepEqual(t, table.StoppingInRegion(at(3*time.Second), "r"), c.want, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
		})
	}
}
