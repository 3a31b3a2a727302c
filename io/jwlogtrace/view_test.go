package jwlogtrace

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const viewLog = `collector 7 {"time":"2026-01-02T03:00:00Z","message":"started","node":"n1"}
{"time":"2026-01-02T03:00:01Z","message":"configuration in force","node":"n1","version":4}
{"time":"2026-01-02T03:00:01Z","message":"target","node":"n1","target":"t1","change":"appeared","service":"s","dataCentre":"a","draining":false,"coldMs":0,"goneInMs":0}
{"time":"2026-01-02T03:00:01Z","message":"target","node":"n1","target":"t2","change":"appeared","service":"s","dataCentre":"b"}
{"time":"2026-01-02T03:00:02Z","message":"send","node":"n1","request":"r1","entry":"e","target":"t1","outcome":"finished","status":200}
{"time":"2026-01-02T03:00:03Z","message":"target","node":"n1","target":"t1","change":"draining","draining":true,"service":"s","dataCentre":"a"}
{"time":"2026-01-02T03:00:04Z","message":"store lost","node":"n1","error":"reset"}
{"time":"2026-01-02T03:00:05Z","message":"evac
{"time":"2026-01-02T03:00:06Z","message":"evacuation","node":"n1","dataCentre":"b","on":true}
{"time":"2026-01-02T02:00:06Z","message":"target registration gone","node":"n1","target":"t1"}
{"time":"2026-01-02T03:00:09Z","message":"store regained","node":"n1"}
{"time":"2026-01-02T03:00:02Z","message":"started","node":"n2"}
`

const leavingLog = `{"time":"2026-01-02T03:00:00Z","message":"started","node":"n1"}
{"time":"2026-01-02T03:00:01Z","message":"target","node":"n1","target":"t1","change":"appeared","service":"s","dataCentre":"a"}
{"time":"2026-01-02T03:00:02Z","message":"target leaves","node":"n1","target":"t1","from":"its answer"}
{"time":"2026-01-02T03:00:03Z","message":"target","node":"n1","target":"t1","change":"renewed","service":"s","dataCentre":"a"}
{"time":"2026-01-02T03:00:05Z","message":"target","node":"n1","target":"t1","change":"beganAnew","service":"s","dataCentre":"a"}
`

func at(text string) time.Time {
	t, err := time.Parse(time.TimeOnly, text)
	if err != nil {
		panic(err)
	}
	return t.AddDate(2026, 0, 1)
}

func readLog(t *testing.T, text string) *Log {
	t.Helper()
	l := &Log{}
	assert.NilError(t, l.Read(strings.NewReader(text)))
	return l
}

// A log has a line cut off by a full disk, and the clock of its host was set
// back for one line.
func TestViewAt(t *testing.T) {
	l := readLog(t, viewLog)
	assert.Equal(t, l.Damaged, 1)
	assert.Equal(t, l.Jumps, 1)
	var b strings.Builder
	view := l.ViewAt("n1", at("03:00:07"))
	view.Write(&b, at("03:00:07"))
	assert.Equal(t, b.String(), `n1: running, configuration 4, last line 1s before
  the store had not answered for 3s; what follows is from before that
  data centre b evacuated
  target t1 of s in a: gone for 1s
  target t2 of s in b: appeared for 6s
`)
	b.Reset()
	view = l.ViewAt("n3", at("03:00:07"))
	view.Write(&b, at("03:00:07"))
	assert.Equal(t, b.String(), "n3: no line before then\n")
}

// A target announced in an answer that it leaves. A renewed registration must not
// undo that; a restart of the target does.
func TestViewOfLeavingTarget(t *testing.T) {
	l := readLog(t, leavingLog)
	for moment, want := range map[string]string{"03:00:01": "appeared", "03:00:02": leaving, "03:00:04": leaving, "03:00:06": restarted} {
		assert.Equal(t, l.ViewAt("n1", at(moment)).Targets["t1"].State, want, moment)
	}
}

func TestIdle(t *testing.T) {
	l := readLog(t, viewLog)
	cases := map[string]struct{ target, from, to, want string }{
		"it drains": {"t1", "03:00:01", "03:00:05", `n1: appeared for 0s at the beginning
  after 0s: target appeared
  after 2s: target draining
  1 sends: answered with 200
n2: target not known
`},
		"evacuated": {"t2", "03:00:02", "03:00:08", `n1: appeared for 1s at the beginning, its data centre evacuated at the end
  after 4s: evacuation of its data centre, on: true
  no send ended there
n2: target not known
`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var b strings.Builder
			l.Idle(&b, c.target, at(c.from), at(c.to))
			got, _, _ := strings.Cut(b.String(), "(clocks")
			assert.Equal(t, got, c.want)
		})
	}
}

// No input may make the functions panic, whatever a log collector passes on.
func FuzzReadAll(f *testing.F) {
	f.Add(viewLog)
	f.Add("{}\n{\"node\":1}\n{{{")
	f.Fuzz(func(_ *testing.T, text string) {
		l := &Log{}
		if err := l.Read(strings.NewReader(text)); err != nil {
			return
		}
		for node := range l.Nodes {
			b := l.ViewAt(node, time.Now())
			b.Write(&strings.Builder{}, time.Now())
		}
		l.Idle(&strings.Builder{}, "t1", time.Time{}, time.Now())
	})
}
