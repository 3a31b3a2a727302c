package jwstand

import (
	"net/http"
	"sync"
	"time"
)

// HostGroup is one group of a document of Prometheus HTTP service discovery.
type HostGroup struct {
	Targets []string          `json:"targets"` // addresses with ports
	Labels  map[string]string `json:"labels"`  // labels of all Targets
}

// Hosts stands in for the platform's list of live and leaving hosts. Each
// change becomes visible only after a lag.
type Hosts struct {
	Lag time.Duration // time until a change is visible

	mu       sync.Mutex
	versions []hostList // oldest first; the later ones may not be visible yet
}

// hostList is one version of the list and the time from which it is visible.
type hostList struct {
	visibleFrom time.Time
	groups      []HostGroup
}

// Set replaces the list. The first list is visible at once, later ones after
// Lag.
func (h *Hosts) Set(groups []HostGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	visibleFrom := time.Now()
	if len(h.versions) > 0 {
		visibleFrom = visibleFrom.Add(h.Lag)
	}
	h.versions = append(h.versions, hostList{visibleFrom: visibleFrom, groups: groups})
}

// Shown returns the list that is visible now.
func (h *Hosts) Shown() []HostGroup {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for len(h.versions) > 1 && !h.versions[1].visibleFrom.After(now) {
		h.versions = h.versions[1:]
	}
	if len(h.versions) == 0 {
		return []HostGroup{}
	}
	return h.versions[0].groups
}

// newest returns the list that was set last, whether it is visible yet or not.
func (h *Hosts) newest() []HostGroup {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) == 0 {
		return []HostGroup{}
	}
	return h.versions[len(h.versions)-1].groups
}

// Handler implements Program.
func (h *Hosts) Handler(func() Faults) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		writeJSONWithETag(w, r, h.Shown())
	})
	return mux
}

// Register implements Program. PATCH /hosts/{address} merges labels, such as
// {"state":"leaving"}, into those of the host; DELETE /hosts/{address} removes
// the host from the list.
func (h *Hosts) Register(control *http.ServeMux) {
	control.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, h.newest())
	})
	control.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var groups []HostGroup
		if readJSON(w, r, &groups) {
			h.Set(groups)
		}
	})
	control.HandleFunc("PATCH /hosts/{address}", func(w http.ResponseWriter, r *http.Request) {
		var labels map[string]string
		if readJSON(w, r, &labels) {
			h.Set(mergeLabels(h.newest(), r.PathValue("address"), labels))
		}
	})
	control.HandleFunc("DELETE /hosts/{address}", func(_ http.ResponseWriter, r *http.Request) {
		h.Set(withoutHost(h.newest(), r.PathValue("address")))
	})
}

// mergeLabels returns one group for each host. The given labels are merged into
// those of the host with the given address.
func mergeLabels(groups []HostGroup, address string, labels map[string]string) []HostGroup {
	var out []HostGroup
	for _, g := range groups {
		for _, target := range g.Targets {
			host := HostGroup{Targets: []string{target}, Labels: make(map[string]string)}
			for k, v := range g.Labels {
				host.Labels[k] = v
			}
			if target == address {
				for k, v := range labels {
					host.Labels[k] = v
				}
			}
			out = append(out, host)
		}
	}
	return out
}

// withoutHost returns one group for each host except the given one.
func withoutHost(groups []HostGroup, address string) []HostGroup {
	out := []HostGroup{}
	for _, g := range mergeLabels(groups, "", nil) {
		if g.Targets[0] != address {
			out = append(out, g)
		}
	}
	return out
}
