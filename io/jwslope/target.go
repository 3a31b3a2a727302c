package jwslope

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwtargetclient"
)

// reportSizes are lengths of a load report in bytes. The engine's stand-in
// writes about 700; a real engine writes its histograms as well.
var reportSizes = []int{700, 4 << 10, 16 << 10, 64 << 10}

// askLoad measures one question to a target for its load. The answering side
// is in the same process, so the processor time is an upper bound.
func askLoad(ctx context.Context, size int) (asked, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return asked{}, err
	}
	report := loadReport(size)
	counted := &countingListener{Listener: l}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(report)
	})}
	go func() { _ = server.Serve(counted) }()
	defer func() { _ = server.Close() }()
	to := netip.MustParseAddrPort(l.Addr().String())
	client := &jwtargetclient.Client{}
	if _, _, err := client.Load(ctx, to); err != nil {
		return asked{}, err
	}
	const reads = 300
	moved, cpu := counted.bytes.Load(), cpuTime()
	for range reads {
		if _, _, err := client.Load(ctx, to); err != nil {
			return asked{}, err
		}
	}
	return asked{
		bytes: float64(counted.bytes.Load()-moved) / reads, cpu: (cpuTime() - cpu) / reads,
	}, nil
}

// loadReport writes a report with as many counters as make up the size.
func loadReport(size int) []byte {
	var b bytes.Buffer
	for _, name := range []string{
		"num_requests_running", "num_requests_waiting", "max_num_seqs", "kv_cache_usage_perc", "seconds_per_output_token",
	} {
		fmt.Fprintf(&b, "# TYPE vllm:%s gauge\nvllm:%s 1\n", name, name)
	}
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "# TYPE vllm:other_%04d_total counter\nvllm:other_%04d_total{model=\"model-1\"} %d\n", i, i, i*1000)
	}
	return b.Bytes()
}

// polled is how many targets a node asks for their load, where runners of
// three services are spread over the regions.
func polled(runners int) int {
	table := &jwtarget.Table{Node: "node-0000", Region: "region-00"}
	var list []jwtarget.Target
	for i := range runners {
		list = append(list, jwtarget.Target{
			Address: addr(i, 8080), Service: fmt.Sprintf("model-%d", i/Regions%3),
			Region: fmt.Sprintf("region-%02d", i%Regions), State: jwtarget.Live,
		})
	}
	table.Set(list, time.Now())
	return len(table.Used())
}
