package jwnode

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwstand"
)

// instantTarget is a target that answers at once, so that the benchmarks measure
// the path to it.
type instantTarget struct{}

const (
	instantAnswer = `{"choices":[{"text":"a lot of hake, landed this morning"}],"usage":{"completion_tokens":8}}`
	instantLoad   = "# TYPE vllm:max_num_seqs gauge\nvllm:max_num_seqs 4096\n"
	tokenEvent    = "data: {\"choices\":[{\"text\":\" hake\"}]}\n\n"
)

// Handler answers with one complete body, or streams one token for each byte of the
// request's body with tokenPause before each.
func (instantTarget) Handler(func() jwstand.Faults) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, instantLoad)
			return
		}
		body, _ := io.ReadAll(r.Body)
		if r.Header.Get("Accept") != "text/event-stream" {
			w.Header().Set("Content-Length", strconv.Itoa(len(instantAnswer)))
			_, _ = io.WriteString(w, instantAnswer)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for range body {
			time.Sleep(tokenPause)
			_, _ = io.WriteString(w, tokenEvent)
			_ = control.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// Register does nothing.
func (instantTarget) Register(*http.ServeMux) {}

const tokenPause = 5 * time.Millisecond

// startInstantTarget starts one instantTarget and one node, and returns the URLs
// for sending requests directly to the target and through the node.
func startInstantTarget(b *testing.B) (direct, node string) {
	s := newSystem(b, "east")
	target := s.standIn("runner", instantTarget{})
	s.addHost(target.Address, map[string]string{"role": "target", "service": "writer", "region": "east", "dataCentre": "east-1"})
	n := s.node("e1", "east")
	s.edit(n, draft())
	s.awaitRevision(1)
	s.await("a request is served", func() bool {
		return s.send(n.CallersAddr(), "draft", "free-east", "x", nil).status == http.StatusOK
	})
	s.await("the target's load is known", func() bool {
		return n.board.Targets.Capacity("writer", time.Now()).Slots > 1
	})
	return httpURL(target.Address, "/v1/completions"), httpURL(n.CallersAddr(), "/v1/requests/draft")
}

func httpURL(a netip.AddrPort, path string) string { return "http://" + a.String() + path }

// post sends one request and returns the number of bytes in the body of the
// answer.
func post(client *http.Client, url, body, accept string) (int64, error) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Jujube-Workspace", "free-east")
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", accept)
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.Copy(io.Discard, resp.Body)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// BenchmarkRequest sends requests that are not streamed, directly to a target and
// through a node; the difference is the cost of the node. The allocations include
// those of the client and the target.
func BenchmarkRequest(b *testing.B) {
	direct, node := startInstantTarget(b)
	body := string(bytes.Repeat([]byte("x"), 1024))
	for name, url := range map[string]string{"direct": direct, "node": node} {
		b.Run(name, func(b *testing.B) {
			client := newClient()
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if _, err := post(client, url, body, ""); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkStreams keeps 500 streams open at the same time; one operation is one
// token of one stream.
func BenchmarkStreams(b *testing.B) {
	const streams = 500
	direct, node := startInstantTarget(b)
	for name, url := range map[string]string{"direct": direct, "node": node} {
		b.Run(name, func(b *testing.B) {
			client := newClient()
			tokens := max(b.N/streams, 1)
			body := strings.Repeat("x", tokens)
			b.ReportAllocs()
			b.ResetTimer()
			began := time.Now()
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					n, err := post(client, url, body, "text/event-stream")
					assert.Check(b, err)
					assert.Check(b, n >= int64(tokens*len(tokenEvent)))
				})
			}
			wg.Wait()
			b.ReportMetric(float64(tokens*streams)/time.Since(began).Seconds(), "tokens/s")
		})
	}
}

// The size of the system in BenchmarkControl.
const (
	benchNodes   = 970
	benchTargets = 3200
	benchRegions = 13
)

// BenchmarkControl runs a node that knows the hosts of a large system, without
// requests; one operation is a second. No other node answers, so the cost of the
// exchanged state is not included. The metric core is the number of processor
// cores in use.
func BenchmarkControl(b *testing.B) {
	s := newSystem(b, "east")
	for i := range benchNodes + benchTargets {
		region := "region-" + strconv.Itoa(i%benchRegions)
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 9)
		labels := map[string]string{"role": "target", "region": region, "dataCentre": region + "-1", "service": "writer", "state": "live"}
		if i < benchNodes {
			labels["role"], labels["name"], labels["nodes"] = "entry", "n"+strconv.Itoa(i), a.String()
			delete(labels, "service")
		}
		s.groups = append(s.groups, jwstand.HostGroup{Targets: []string{a.String()}, Labels: labels})
	}
	s.hosts.Set(s.groups)
	s.exchange, s.hostsPoll = "500ms", "1s"
	n := s.node("e1", "east")
	s.await("the hosts are known", func() bool { return n.board.Peers.Len() >= benchNodes })
	b.ResetTimer()
	before := cpuTime(b)
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric((cpuTime(b)-before).Seconds()/float64(b.N), "core")
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
