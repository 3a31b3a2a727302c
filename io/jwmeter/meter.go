package jwmeter

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	tally "github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix = "jujubewheel"
	// DefaultInterval is the default time between two reports to the registry;
	// readings may be older than the handles by that much.
	DefaultInterval = time.Second
)

// Tags are the labels of one series. All series of a name have the same keys;
// their values come from small fixed sets, never from callers.
type Tags map[string]string

// Meter returns handles of the metrics of a node. The zero value is ready to use;
// the handles of a nil Meter do nothing.
type Meter struct {
	Interval time.Duration // between two reports to the registry, DefaultInterval if 0
	Log      logr.Logger   // for errors of names that are used with different tags

	once     sync.Once
	registry *prometheus.Registry
	scope    tally.Scope
	stop     func() error
}

// sanitizer keeps label values as they are. Tally's default would merge the
// entries "order-status" and "order_status" into one series.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}}},
	ReplacementCharacter: tallyprom.DefaultSanitizerOpts.ReplacementCharacter,
}

// durationBuckets are the buckets of durations: close together around the times to
// the first token and between tokens, so that p95 can be read off them.
var durationBuckets = tally.DurationBuckets{
	0,
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	15 * time.Millisecond, 20 * time.Millisecond, 25 * time.Millisecond, 30 * time.Millisecond,
	40 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 700 * time.Millisecond, time.Second, 1300 * time.Millisecond,
	2 * time.Second, 4 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute,
}

// Counter returns the counter of a name and tags.
func (m *Meter) Counter(name string, tags Tags) tally.Counter {
	return m.scopeWith(tags).Counter(name)
}

// Gauge returns the gauge of a name and tags.
func (m *Meter) Gauge(name string, tags Tags) tally.Gauge {
	return m.scopeWith(tags).Gauge(name)
}

// Durations returns the histogram of durations of a name and tags. Its sum adds
// bucket bounds instead of durations: use it for quantiles, not for means.
func (m *Meter) Durations(name string, tags Tags) tally.Histogram {
	return m.scopeWith(tags).Histogram(name, durationBuckets)
}

// Values returns a histogram of plain numbers with the given bucket bounds.
func (m *Meter) Values(name string, tags Tags, bounds []float64) tally.Histogram {
	return m.scopeWith(tags).Histogram(name, tally.ValueBuckets(bounds))
}

func (m *Meter) scopeWith(tags Tags) tally.Scope {
	if m == nil {
		return tally.NoopScope
	}
	m.once.Do(m.open)
	if len(tags) == 0 {
		return m.scope
	}
	return m.scope.Tagged(tags)
}

func (m *Meter) open() {
	m.registry = prometheus.NewRegistry()
	m.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: m.registry,
		// A name with two sets of tags is a programming error. The default
		// would end the process, and with it the requests in flight.
		OnRegisterError: func(err error) { m.Log.Error(err, "metric not registered") },
	})
	interval := m.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, interval)
	m.scope, m.stop = scope, closer.Close
}

// Handler answers with all metrics in Prometheus text.
func (m *Meter) Handler() http.Handler {
	if m == nil {
		return http.NotFoundHandler()
	}
	m.once.Do(m.open)
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Total returns the sum of a counter's or gauge's series that have the given
// tags, as of the last report; it reads everything and is slow.
func (m *Meter) Total(name string, tags Tags) float64 {
	if m == nil {
		return 0
	}
	m.once.Do(m.open)
	families, err := m.registry.Gather()
	if err != nil {
		return 0
	}
	total := 0.0
	for _, f := range families {
		if f.GetName() == prefix+"_"+name {
			total += sumFamily(f, tags)
		}
	}
	return total
}

// Close sends a last report and stops reporting. Handles stay usable, but their
// values are no longer reported.
func (m *Meter) Close() error {
	if m == nil {
		return nil
	}
	m.once.Do(m.open)
	return m.stop()
}
