package jwload

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwstand"
)

var (
	hostA = netip.MustParseAddrPort("127.0.0.1:1")
	hostB = netip.MustParseAddrPort("127.0.0.1:2")
)

func lookupMix() Mix {
	return Mix{Kinds: []Kind{{
		Entry: "lookup", Owner: "o", Share: 1, Target: Service, Path: "/l", Body: 10, Deadline: jwstand.Duration(time.Second),
	}}}
}

// callerFunc answers calls in a test.
type callerFunc func(r *http.Request) (*http.Response, error)

// DoRequest implements requestDoer.
func (f callerFunc) DoRequest(r *http.Request) (*http.Response, error) { return f(r) }

func respond(status int, header map[string]string, body string) *http.Response {
	res := &http.Response{StatusCode: status, Header: make(http.Header), Body: io.NopCloser(strings.NewReader(body))}
	for k, v := range header {
		res.Header.Set(k, v)
	}
	return res
}

// echo answers a lookup as a plain service does.
func echo(r *http.Request) *http.Response {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(err)
	}
	text := `{"body":"` + string(body) + `"}`
	return respond(http.StatusOK, map[string]string{"Jujube-Outcome": "served"}, text)
}

func runLoad(t *testing.T, l *Load) Line {
	t.Helper()
	assert.NilError(t, l.Run(context.Background()))
	lines := l.Report().Lines
	assert.Equal(t, len(lines), 2, "one line for the owner and one for its entry")
	assert.Equal(t, lines[0].Whole, lines[1].Whole)
	return lines[1]
}

func TestScheduleIsReproducible(t *testing.T) {
	newSchedule := func() *Schedule {
		regions := []Region{{Name: "r1", Share: 1}, {Name: "r2", Share: 3}}
		return &Schedule{Mix: Mixes["zaitoun"], Regions: regions, Workspaces: 10, Rate: 100, Direct: 0.5, Seed: 7}
	}
	a, b := newSchedule(), newSchedule()
	counts := map[string]int{}
	var last time.Duration
	for range 4000 {
		x, y := a.Next(), b.Next()
		assert.Check(t, x.ID == y.ID && x.At == y.At && x.Workspace == y.Workspace && string(x.Body) == string(y.Body))
		assert.Check(t, x.At >= last)
		last = x.At
		counts[x.Kind.Entry]++
		counts[x.Region]++
		if x.Direct {
			counts["direct"]++
		}
	}
	checkCount := func(name string, want int) {
		t.Helper()
		assert.Check(t, counts[name] > want*9/10 && counts[name] < want*11/10, "%s: %d", name, counts[name])
	}
	checkCount("status-check", 2400)
	checkCount("r2", 3000)
	checkCount("direct", 2000)
	assert.Check(t, last > 36*time.Second && last < 44*time.Second, "%v for 4000 at 100/s", last)
}

func TestPromptsShareAPrefix(t *testing.T) {
	kind := Mixes["cladagh"].Kinds[0]
	a := Arrival{ID: "1", Workspace: "w", Kind: kind}
	b := Arrival{ID: "2", Workspace: "w", Kind: kind}
	a.fillBody()
	b.fillBody()
	assert.Equal(t, a.Prompt[:kind.Prefix], b.Prompt[:kind.Prefix])
	assert.Check(t, a.Prompt != b.Prompt)
}

// A node stalls for a while. A closed-loop generator waits for answers, so it
// would send less during the stall and report only a few slow requests. Callers
// see the stall in every request that was due during it, and the report must
// show that.
func TestStallShowsInAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		const stall = 500 * time.Millisecond
		l := &Load{
			Schedule: Schedule{Mix: lookupMix(), Rate: 100, Seed: 1},
			Duration: time.Second,
			Hosts:    map[string][]netip.AddrPort{"": {hostA}},
			service: callerFunc(func(r *http.Request) (*http.Response, error) {
				time.Sleep(time.Until(start.Add(stall)))
				return echo(r), nil
			}),
		}
		line := runLoad(t, l)
		assert.Check(t, line.Served == line.Sent && line.Sent > 50)
		assert.Check(t, line.Whole.P95 > 350, "%+v", line.Whole)
		assert.Check(t, l.Report().MostOpen > 30, "%d open", l.Report().MostOpen)
		assert.Check(t, line.Whole.Max > 400 && line.Whole.Max <= 501, "%+v", line.Whole)
	})
}

func TestFollowRetries(t *testing.T) {
	notRun := map[string]string{"Jujube-Outcome": "notRun", "Retry-After": "0.1"}
	tests := map[string]struct {
		answers       func(r *http.Request, call int) (*http.Response, error)
		follow        bool
		calls         int // of one request
		served        bool
		notRun        bool
		unknown       bool
		wrong         bool
		completeAfter float64 // milliseconds
	}{
		"comes back after Retry-After": {
			follow: true, calls: 3, served: true, completeAfter: 200,
			answers: func(r *http.Request, call int) (*http.Response, error) {
				if call < 3 {
					return respond(http.StatusTooManyRequests, notRun, ""), nil
				}
				return echo(r), nil
			},
		},
		"goes to the named host": {
			follow: true, calls: 2, served: true,
			answers: func(r *http.Request, call int) (*http.Response, error) {
				if call == 1 {
					header := map[string]string{"Jujube-Outcome": "notRun"}
					return respond(http.StatusMisdirectedRequest, header, `{"hosts":["127.0.0.1:2"]}`), nil
				}
				if r.URL.Host != hostB.String() {
					return respond(http.StatusInternalServerError, nil, ""), nil
				}
				return echo(r), nil
			},
		},
		"gives up at the deadline": {
			follow: true, calls: 1, notRun: true,
			answers: func(*http.Request, int) (*http.Response, error) {
				header := map[string]string{"Jujube-Outcome": "notRun", "Retry-After": "5"}
				return respond(http.StatusServiceUnavailable, header, ""), nil
			},
		},
		"counts the first answer without FollowRetries": {
			calls: 1, notRun: true,
			answers: func(*http.Request, int) (*http.Response, error) {
				return respond(http.StatusTooManyRequests, notRun, ""), nil
			},
		},
		"never retries what may have run": {
			follow: true, calls: 1, unknown: true,
			answers: func(*http.Request, int) (*http.Response, error) {
				return respond(http.StatusGatewayTimeout, map[string]string{"Jujube-Outcome": "unknown", "Retry-After": "0"}, ""), nil
			},
		},
		"finds another request's answer": {
			follow: true, calls: 1, served: true, wrong: true,
			answers: func(*http.Request, int) (*http.Response, error) {
				return respond(http.StatusOK, map[string]string{"Jujube-Outcome": "served"}, `{"body":"other"}`), nil
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				l := &Load{FollowRetries: test.follow, Hosts: map[string][]netip.AddrPort{"": {hostA}}}
				l.service = callerFunc(func(r *http.Request) (*http.Response, error) {
					calls++
					return test.answers(r, calls)
				})
				a := Arrival{Kind: lookupMix().Kinds[0], ID: "1"}
				a.fillBody()
				l.Duration = time.Second
				l.send(context.Background(), a, time.Now())
				line := l.Report().Lines[1]
				assert.Equal(t, calls, test.calls)
				assert.Equal(t, line.Served == 1, test.served)
				assert.Equal(t, line.NotRun == 1, test.notRun)
				assert.Equal(t, line.Unknown == 1, test.unknown)
				assert.Equal(t, line.Wrong == 1, test.wrong)
				assert.Check(t, line.Whole.P50 >= test.completeAfter)
			})
		})
	}
}

func TestReadStream(t *testing.T) {
	kind := Kind{Target: Runner, Stream: true, Tokens: 2}
	tokens := `data: {"choices":[{"text":"` + jwstand.TokenOf("p", 1) + `"}]}` + "\n\n" +
		`data: {"choices":[{"text":"` + jwstand.TokenOf("p", 2) + `"}]}` + "\n\n"
	tests := map[string]struct {
		direct   bool
		body     string
		outcome  jwrequest.Outcome
		complete bool
		correct  bool
	}{
		"complete through a node": {
			body:    tokens + "data: [DONE]\n\nevent: done\ndata: {\"outcome\":\"served\",\"length\":9}\n\n",
			outcome: jwrequest.Served, complete: true, correct: true,
		},
		"the engine's end is not the node's": {body: tokens + "data: [DONE]\n\n", outcome: jwrequest.Unknown},
		"complete from a target":             {direct: true, body: tokens + "data: [DONE]\n\n", outcome: jwrequest.Served, complete: true, correct: true},
		"cut off":                            {body: tokens, outcome: jwrequest.Unknown},
		"cut off in its last event":          {body: tokens + "event: done\ndata: {}", outcome: jwrequest.Unknown},
		"a node's error":                     {body: tokens + "event: error\ndata: {\"outcome\":\"unknown\"}\n\n", outcome: jwrequest.Unknown},
		"a token is missing": {
			body:    tokens[:strings.Index(tokens, "\n\n")+2] + "event: done\ndata: {}\n\n",
			outcome: jwrequest.Served, complete: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			res := respond(http.StatusOK, map[string]string{"Content-Type": "text/event-stream"}, test.body)
			ans := readAnswer(res, Arrival{Kind: kind, Prompt: "p", Tokens: 2, Direct: test.direct}, time.Now)
			assert.Equal(t, ans.outcome, test.outcome)
			assert.Equal(t, ans.complete, test.complete)
			assert.Equal(t, ans.correct, test.correct)
		})
	}
}

func TestParseMix(t *testing.T) {
	for name, mix := range Mixes {
		assert.NilError(t, mix.check(), name)
	}
	tests := map[string]string{
		`{`:            "mix",
		`{"kinds":[]}`: "no kind has a share",
		`{"kinds":[{"entry":"a","share":1,"target":"x"}]}`:                     "unknown target",
		`{"kinds":[{"entry":"a","share":1,"target":"runner"}]}`:                "no tokens",
		`{"kinds":[{"entry":"a","share":1,"target":"service"}]}`:               "no deadline",
		`{"kinds":[{"share":1,"target":"service"}]}`:                           "no entry",
		`{"kinds":[{"entry":"a","target":"service","stream":true}]}`:           "only runners stream",
		`{"kinds":[{"entry":"a","share":1,"deadline":"x","target":"runner"}]}`: "invalid duration",
	}
	for body, want := range tests {
		_, err := ParseMix([]byte(body))
		assert.ErrorContains(t, err, want)
	}
}

func FuzzReadStream(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n", true)
	f.Add("event: done\ndata: {\"outcome\":\"served\"}\n\n", false)
	f.Add(": note\nid: 1\n\n", false)
	f.Fuzz(func(t *testing.T, body string, direct bool) {
		res := respond(http.StatusOK, map[string]string{"Content-Type": "text/event-stream"}, body)
		ans := readAnswer(res, Arrival{Kind: Kind{Target: Runner, Stream: true}, Prompt: "p", Tokens: 1, Direct: direct}, time.Now)
		assert.Check(t, ans.complete || !ans.correct, "an answer without its end is never right")
	})
}
