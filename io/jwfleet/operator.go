package jwfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwclock"
	"jujubewheel/io/jwload"
	"jujubewheel/io/jwoperate"
	"jujubewheel/io/jwstand"
)

const (
	serviceName  = "jwfleet"
	callTimeout  = 15 * time.Second      // for one call
	readyTimeout = 20 * time.Second      // for one step of prepareFleet
	retryPause   = 50 * time.Millisecond // between tries of a step
)

// operator edits the catalogue and sends the few requests that are not part of
// the load.
type operator struct {
	service   httpc.Service
	transport *http.Transport
}

func newOperator() *operator {
	breaker.NoBreakerFor(serviceName)
	transport := &http.Transport{}
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	return &operator{service: httpc.NewServiceWithClient(serviceName, client), transport: transport}
}

func (o *operator) close() { o.transport.CloseIdleConnections() }

// prepareFleet adds the entries to the catalogue and waits until every node
// serves them. Entries whose requests need an idempotency key are not probed.
func (o *operator) prepareFleet(ctx context.Context, f *fleet) error {
	address := f.nodes[f.Regions[0]][0].OperatorsAddr()
	for _, e := range f.entries() {
		if err := retryUntilReady(ctx, "edit "+e.Name, func() error { return o.putEntry(ctx, address, e) }); err != nil {
			return err
		}
	}
	for region, nodes := range f.nodes {
		for _, n := range nodes {
			for _, k := range f.Mix.Kinds {
				if k.Key {
					continue
				}
				err := retryUntilReady(ctx, region+" serves "+k.Entry, func() error { return o.probe(ctx, n.CallersAddr(), region, k) })
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// putEntry adds one entry to the catalogue. An entry that exists already is no
// error.
func (o *operator) putEntry(ctx context.Context, address netip.AddrPort, e jwcatalogue.Entry) error {
	data, err := json.Marshal(jwoperate.EditBody{Entry: &e, Author: "measurement", Reason: "trial", EditID: "trial-" + e.Name})
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/v1/catalogue/entries/%s?wait=5s", address, e.Name)
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	r.Header.Set("If-None-Match", "*")
	status, err := o.do(r)
	if err == nil && status/100 != 2 && status != http.StatusPreconditionFailed {
		err = errors.Errorf("status %d", status)
	}
	return err
}

// probe checks that a node serves an entry.
func (o *operator) probe(ctx context.Context, address netip.AddrPort, region string, k jwload.Kind) error {
	status, err := o.sendPrompt(ctx, address, k.Entry, jwload.WorkspaceName(region, 0), "ready?")
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("status %d", status)
	}
	return err
}

// sendPrompt sends a request for one token. Plain services accept the same
// body.
func (o *operator) sendPrompt(ctx context.Context, address netip.AddrPort, entry, workspace, text string) (int, error) {
	body, err := json.Marshal(jwstand.Completion{Model: entry, Prompt: text, MaxTokens: 1})
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/requests/"+entry, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Jujube-Workspace", workspace)
	return o.do(r)
}

// do sends a request and reads the answer to its end, without using its body.
func (o *operator) do(r *http.Request) (status int, err error) {
	res, err := o.service.DoRequest(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// retryUntilReady retries a step until it succeeds, or returns its error after
// readyTimeout.
func retryUntilReady(ctx context.Context, what string, step func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := step()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "not ready after %s: %s", readyTimeout, what)
		}
		if err := jwclock.Sleep(ctx, retryPause); err != nil {
			return err
		}
	}
}
