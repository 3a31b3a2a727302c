package jwgateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwmember"
	"jujubewheel/core/jwsender"
	"jujubewheel/io/jwconn"
)

// abandonedPath is the path of the report which forwards a node has abandoned.
const abandonedPath = "/forwards/abandoned"

const (
	// abandonDelay is how long an abandoned forward waits to be reported together with others.
	abandonDelay = 5 * time.Millisecond
	// abandonInterval is the time between two attempts to report. It is shorter than a round trip to another
	// region, because the connection that was lost may not be the only one.
	abandonInterval = 50 * time.Millisecond
	// abandonAttempts is the number of attempts. The questions of the other node follow them.
	abandonAttempts = 6
	// abandonTimeout limits all attempts together.
	abandonTimeout = time.Second
)

// abandonedReport reports which of its forwards to the receiver a node has abandoned.
type abandonedReport struct {
	Node     string   `json:"node"` // the node that reports
	Forwards []string `json:"forwards"`
}

// abandonedForwards holds the forwards that are about to be reported as abandoned. The zero value is empty.
type abandonedForwards struct {
	mu      sync.Mutex
	pending map[string][]string // by node
}

// add reports a forward to a node as abandoned.
func (p *abandonedForwards) add(g *Gateway, m jwmember.Member, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = make(map[string][]string)
	}
	if len(p.pending[m.Name]) == 0 {
		time.AfterFunc(abandonDelay, func() { g.reportAbandoned(m, p.take(m.Name)) })
	}
	p.pending[m.Name] = append(p.pending[m.Name], name)
}

func (p *abandonedForwards) take(node string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.pending[node]
	delete(p.pending, node)
	return list
}

// reportAbandoned reports forwards to a node as abandoned, over further connections until it answers.
func (g *Gateway) reportAbandoned(m jwmember.Member, forwards []string) {
	body, err := json.Marshal(abandonedReport{g.Settings.Node, forwards})
	if err != nil {
		g.Log.Error(err, "failed to encode abandoned forwards")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	results := make(chan error, abandonAttempts)
	ticker := time.NewTicker(abandonInterval)
	defer ticker.Stop()
	attempts, failures := 0, 0
	attempt := func() {
		newConn := attempts > 0
		attempts++
		go func() { results <- g.sendAbandoned(ctx, m, body, newConn) }()
	}
	attempt()
	attempt() // the first one may use a kept connection that is lost, too
	for failures < abandonAttempts {
		select {
		case <-ticker.C:
			if attempts < abandonAttempts {
				attempt()
			}
		case err = <-results:
			if err == nil {
				g.metrics.abandonedForwards[true].Inc(int64(len(forwards)))
				g.Log.Info("abandoned forwards reported", "peer", m.Name, "forwards", len(forwards), "attempts", attempts)
				return
			}
			failures++
		}
	}
	g.metrics.abandonedForwards[false].Inc(int64(len(forwards)))
	g.Log.Info("failed to report abandoned forwards", "peer", m.Name, "forwards", len(forwards), "error", err.Error())
}

// sendAbandoned sends a report of abandoned forwards once.
func (g *Gateway) sendAbandoned(ctx context.Context, m jwmember.Member, body []byte, newConn bool) error {
	a, err := g.Nodes.Do(ctx, &jwconn.Call{
		Peer: m.Nodes, Method: http.MethodPost, Target: abandonedPath, Host: m.Nodes.String(), Body: body, NewConn: newConn,
	})
	if err != nil {
		return errors.Wrapf(err, "report abandoned forwards to %s", m.Name)
	}
	defer a.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDrain)); err != nil {
		return errors.Wrapf(err, "report abandoned forwards to %s", m.Name)
	}
	if a.Status != http.StatusNoContent {
		return errors.Errorf("report abandoned forwards to %s: status %d", m.Name, a.Status)
	}
	return nil
}

// serveAbandoned ends the streams that another node has abandoned.
func (g *Gateway) serveAbandoned(w http.ResponseWriter, r *http.Request) {
	var report abandonedReport
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestion)).Decode(&report); err != nil {
		g.Log.Info("report of abandoned forwards not readable", "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.senders.Alive(time.Now(), report.Node)
	ended := g.senders.Abandon(time.Now(), report.Node, report.Forwards)
	g.logAbandoned(report.Node, jwsender.Unwanted, ended)
	w.WriteHeader(http.StatusNoContent)
}
