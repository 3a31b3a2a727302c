package jwdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jujubewheel/io/jwoperate"
	"jujubewheel/io/jwstand"
)

const (
	serviceName = "jwdemo"
	callTimeout = 10 * time.Second
)

// caller sends requests as callers do and edits as operators do.
type caller struct {
	httpService httpc.Service
	answers     []answer // recorded for the summary
}

// request is what a caller sends.
type request struct {
	to        netip.AddrPort
	entry     string
	workspace string
	key       string
	body      []byte
}

// answer is an answer as its caller sees it.
type answer struct {
	entry          string
	home           string // region of the workspace
	status         int
	outcome        string
	servedBy       string // region that served the request
	body           string
	events         int           // number of tokens in a stream
	firstByteAfter time.Duration // time until the first line of the body was read
	completeAfter  time.Duration // time until the body ended
	err            error
}

func newCaller() *caller {
	breaker.NoBreakerFor(serviceName)
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	return &caller{httpService: httpc.NewServiceWithClient(serviceName, client)}
}

// record keeps answers for the summary. Unlike send, it must not be called
// concurrently.
func (c *caller) record(answers ...answer) { c.answers = append(c.answers, answers...) }

// send sends a request and reads its complete answer.
func (c *caller) send(ctx context.Context, in request) answer {
	out := answer{entry: in.entry, home: strings.TrimPrefix(strings.TrimPrefix(in.workspace, "hall-"), "family-")}
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.to.String()+"/v1/requests/"+in.entry, bytes.NewReader(in.body))
	if err != nil {
		out.err = err
		return out
	}
	r.Header.Set("Jujube-Workspace", in.workspace)
	r.Header.Set("Content-Type", "application/json")
	if in.key != "" {
		r.Header.Set("Idempotency-Key", in.key)
	}
	resp, err := c.httpService.DoRequest(r)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	out.servedBy = resp.Header.Get("Jujube-Served-By")
	out.read(resp, began)
	return out
}

// read reads the body and the outcome, which a stream has in its trailer.
func (a *answer) read(resp *http.Response, began time.Time) {
	var text strings.Builder
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if line != "" && a.firstByteAfter == 0 {
			a.firstByteAfter = time.Since(began)
		}
		if strings.HasPrefix(line, "data: {\"id\"") {
			a.events++
		}
		text.WriteString(line)
		if err == io.EOF {
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.completeAfter = time.Since(began)
	a.body = text.String()
	a.outcome = resp.Header.Get("Jujube-Outcome")
	if a.outcome == "" {
		a.outcome = resp.Trailer.Get("Jujube-Outcome")
	}
}

// served reports whether the complete answer came.
func (a answer) served() bool {
	return a.err == nil && a.status == http.StatusOK && a.outcome == "served"
}

// ticket mints an idempotency key at a node.
func (c *caller) ticket(ctx context.Context, at netip.AddrPort) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+"/v1/tickets", nil)
	if err != nil {
		return "", err
	}
	var minted struct {
		Key string `json:"key"`
	}
	_, err = c.readJSON(r, &minted)
	return minted.Key, err
}

// putEntry writes a new entry to the catalogue and returns the status of the
// change.
func (c *caller) putEntry(ctx context.Context, at netip.AddrPort, body jwoperate.EditBody, wait time.Duration) (jwoperate.RevisionStatus, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return jwoperate.RevisionStatus{}, err
	}
	path := "/v1/catalogue/entries/" + body.Entry.Name + "?wait=" + wait.String()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at.String()+path, bytes.NewReader(data))
	if err != nil {
		return jwoperate.RevisionStatus{}, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorsToken)
	r.Header.Set("If-None-Match", "*")
	var status jwoperate.RevisionStatus
	_, err = c.readJSON(r, &status)
	return status, err
}

// status returns whether the latest change of the catalogue is in force at every
// node, and which nodes have not confirmed it.
func (c *caller) status(ctx context.Context, at netip.AddrPort) (jwoperate.RevisionStatus, error) {
	var status jwoperate.RevisionStatus
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/v1/catalogue/status", nil)
	if err != nil {
		return status, err
	}
	r.Header.Set("Authorization", "Bearer "+operatorsToken)
	_, err = c.readJSON(r, &status)
	return status, err
}

// readJSON sends a request and decodes the JSON of its answer into value. A
// status other than 2xx is an error.
func (c *caller) readJSON(r *http.Request, value any) (status int, err error) {
	resp, err := c.httpService.DoRequest(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode/100 != 2 {
		return resp.StatusCode, errors.Errorf("%s %s: %s: %s", r.Method, r.URL.Path, resp.Status, data)
	}
	return resp.StatusCode, json.Unmarshal(data, value)
}

// prompt returns the body of a draft.
func prompt(text string, tokens int) []byte {
	data, _ := json.Marshal(jwstand.Completion{Model: "menus", Prompt: text, MaxTokens: tokens, Stream: true})
	return data
}
