package jwstand

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

// Links runs several links in one process, with one control port.
type Links struct {
	Control netip.AddrPort // if zero, or with port 0, Open picks a free loopback port
	Links   []*Link

	control net.Listener
}

// Open listens on all links and on the control port.
func (ls *Links) Open() error {
	for _, l := range ls.Links {
		if err := l.open(); err != nil {
			return err
		}
	}
	control, err := listen(ls.Control)
	if err != nil {
		return errors.Wrapf(err, "listen for control: %s", ls.Control)
	}
	ls.control = control
	ls.Control = addressOf(control)
	return nil
}

// Ready returns the addresses on which the links listen, in the order of Links.
func (ls *Links) Ready() Ready {
	ready := Ready{Kind: "link", Control: ls.Control}
	for _, l := range ls.Links {
		ready.Links = append(ready.Links, l.Listen)
	}
	return ready
}

// Run relays until the context ends. It calls Open first if that was not done.
func (ls *Links) Run(ctx context.Context) error {
	if ls.control == nil {
		if err := ls.Open(); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", ls.getLinks)
	mux.HandleFunc("PUT /links", ls.putLinks)
	mux.HandleFunc("PUT /links/{name}", ls.putLinks)
	control := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = control.Close() })
	defer stop()
	var wg sync.WaitGroup
	for _, l := range ls.Links {
		wg.Go(func() { l.run(ctx) })
	}
	err := control.Serve(ls.control)
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve control: %s", ls.Control)
}

// linkState is the state of one link in an answer of the control port.
type linkState struct {
	Name       string               `json:"name"`
	Listen     netip.AddrPort       `json:"listen"`
	Dial       netip.AddrPort       `json:"dial"`
	Conditions Conditions           `json:"weather"`
	Passed     map[Direction]uint64 `json:"passed"`
}

func (ls *Links) getLinks(w http.ResponseWriter, _ *http.Request) {
	states := make([]linkState, 0, len(ls.Links))
	for _, l := range ls.Links {
		passed := map[Direction]uint64{Forward: l.Passed(Forward), Back: l.Passed(Back)}
		states = append(states, linkState{Name: l.Name, Listen: l.Listen, Dial: l.Dial, Conditions: l.Conditions(), Passed: passed})
	}
	writeJSON(w, http.StatusOK, states)
}

// putLinks merges the body into the conditions of the named link, or of all links
// if the path has no name.
func (ls *Links) putLinks(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, chunkSize))
	if err != nil {
		return
	}
	name, known := r.PathValue("name"), false
	for _, l := range ls.Links {
		if name != "" && name != l.Name {
			continue
		}
		known = true
		conditions := l.Conditions()
		conditions.Silent = false
		if !decodeJSON(w, body, &conditions) {
			return
		}
		l.SetConditions(conditions)
	}
	if !known {
		http.Error(w, "no such link", http.StatusNotFound)
	}
}
