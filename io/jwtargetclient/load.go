package jwtargetclient

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"jujubewheel/core/jwtarget"
)

// The names of the gauges in a target's load report are those that model engines
// use.
const (
	gaugeRunning = "vllm:num_requests_running"
	gaugeWaiting = "vllm:num_requests_waiting"
	gaugeSlots   = "vllm:max_num_seqs"
	gaugeCache   = "vllm:kv_cache_usage_perc"
	gaugeToken   = "vllm:seconds_per_output_token"
	gaugeLeaving = "vllm:leaving"
)

// maxReport is the maximum size of a load report in bytes. Anything beyond it
// is not read.
const maxReport = 256 << 10

// Load reads the load of a target from its /metrics, in the Prometheus text
// format. The load is zero for a target that has no such path; leaving reports
// whether the target announces that it is leaving.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (load jwtarget.Load, leaving bool, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/metrics", nil)
	if err != nil {
		return load, false, errors.Wrapf(err, "create load request: %s", addr)
	}
	resp, err := c.connsTo(addr).pooled.DoRequest(r)
	if err != nil {
		if ctx.Err() != nil {
			c.CloseIdle(addr)
		}
		return load, false, errors.Wrapf(err, "read load: %s", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusMethodNotAllowed {
		return load, false, nil // the service reports no load, but is alive
	}
	if resp.StatusCode != http.StatusOK {
		return load, false, errors.Errorf("read load: %s: target answered %s", addr, resp.Status)
	}
	load, leaving, err = parseLoad(io.LimitReader(resp.Body, maxReport))
	return load, leaving, errors.Wrapf(err, "read load: %s", addr)
}

func parseLoad(r io.Reader) (load jwtarget.Load, leaving bool, err error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return load, false, err
	}
	load.Running = int(gauge(families, gaugeRunning))
	load.Waiting = int(gauge(families, gaugeWaiting))
	load.Slots = int(gauge(families, gaugeSlots))
	load.CacheUse = gauge(families, gaugeCache)
	load.TokenInterval = time.Duration(gauge(families, gaugeToken) * float64(time.Second))
	return load, gauge(families, gaugeLeaving) > 0, nil
}

func gauge(families map[string]*dto.MetricFamily, name string) float64 {
	f := families[name]
	if f == nil || len(f.GetMetric()) == 0 {
		return 0
	}
	return f.GetMetric()[0].GetGauge().GetValue()
}
