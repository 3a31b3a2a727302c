package jwload

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jujubewheel/core/jwrequest"
	"jujubewheel/io/jwstand"
)

const (
	maxLine   = 1 << 20
	maxAnswer = 16 << 20
)

// answer is what came back for one call.
type answer struct {
	status  int
	outcome jwrequest.Outcome
	complete   bool // the end of the answer came
	right   bool // the answer is that of this request
	first   time.Time
	gaps    []time.Duration // between tokens
	retry   time.Duration   // when to come back; 0 when not told
	hosts   []netip.AddrPort
	region  string // that served it, "" when not told
}

// readAnswer takes a response to its end.
func readAnswer(res *http.Response, a Arrival, now func() time.Time) answer {
	ans := answer{
		status:  res.StatusCode,
		outcome: jwrequest.Outcome(res.Header.Get("Jujube-Outcome")),
		retry:   retryAfter(res.Header),
		region:  res.Header.Get("Jujube-Served-By"),
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		ans.readStream(res.Body, a, now)
	} else {
		ans.readWhole(res.Body, a, now)
	}
	ans.settle(a.Direct)
	return ans
}

// settle fills in the outcome where no header could tell it.
func (ans *answer) settle(direct bool) {
	if ans.outcome != "" && ans.outcome != jwrequest.Served {
		return
	}
	switch {
	case ans.status == http.StatusOK && ans.complete:
		ans.outcome = jwrequest.Served
	case direct && ans.status == http.StatusServiceUnavailable:
		ans.outcome = jwrequest.NotRun
	default:
		ans.outcome = jwrequest.Unknown
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func (ans *answer) readWhole(body io.Reader, a Arrival, now func() time.Time) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return
	}
	ans.complete = true
	ans.first = now()
	if ans.status != http.StatusOK {
		ans.hosts = decodeHosts(data)
		return
	}
	if a.Kind.Target == Service {
		var echo jwstand.Echo
		ans.right = json.Unmarshal(data, &echo) == nil && echo.Body == string(a.Body)
		return
	}
	var c jwstand.CompletionAnswer
	if json.Unmarshal(data, &c) == nil && len(c.Choices) == 1 {
		ans.right = c.Choices[0].Text == jwstand.TextOf(a.Prompt, a.Tokens)
	}
}

// decodeHosts reads the hosts to use instead, given as texts or as objects
// with an address.
func decodeHosts(data []byte) []netip.AddrPort {
	var plain struct {
		Hosts []netip.AddrPort `json:"hosts"`
	}
	if json.Unmarshal(data, &plain) == nil {
		return plain.Hosts
	}
	var objects struct {
		Hosts []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"hosts"`
	}
	if json.Unmarshal(data, &objects) != nil {
		return nil
	}
	var hosts []netip.AddrPort
	for _, h := range objects.Hosts {
		hosts = append(hosts, h.Address)
	}
	return hosts
}

// event is one event of a stream.
type event struct {
	name string
	data string
}

// lastWord is the data of the event with which a node ends a stream.
type lastWord struct {
	Outcome jwrequest.Outcome `json:"outcome"`
}

// readStream takes tokens until the stream's end. Through a node only its own
// last event is the end; a direct stream ends as the engine ends it.
func (ans *answer) readStream(body io.Reader, a Arrival, now func() time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var b strings.Builder
	var before time.Time
	for {
		e, err := nextEvent(scanner)
		if err != nil {
			return
		}
		at := now()
		switch {
		case e.name == "done" || e.name == "error":
			ans.end(e, b.String() == jwstand.TextOf(a.Prompt, a.Tokens))
			return
		case e.data == "[DONE]":
			if a.Direct {
				ans.end(event{name: "done"}, b.String() == jwstand.TextOf(a.Prompt, a.Tokens))
				return
			}
			continue
		}
		token, ok := tokenOf(e.data)
		if !ok {
			continue
		}
		b.WriteString(token)
		if ans.first.IsZero() {
			ans.first = at
		} else {
			ans.gaps = append(ans.gaps, at.Sub(before))
		}
		before = at
	}
}

func (ans *answer) end(e event, right bool) {
	var word lastWord
	if json.Unmarshal([]byte(e.data), &word) == nil && word.Outcome != "" {
		ans.outcome = word.Outcome
	}
	ans.complete = e.name == "done"
	ans.right = ans.complete && right
}

func tokenOf(data string) (string, bool) {
	var c jwstand.CompletionAnswer
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return "", false
	}
	return c.Choices[0].Text, true
}

// nextEvent reads lines up to the blank one that ends an event.
func nextEvent(scanner *bufio.Scanner) (event, error) {
	var e event
	seen := false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "" && seen {
			return e, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			e.name, seen = value, true
		case "data":
			e.data, seen = value, true
		}
	}
	if err := scanner.Err(); err != nil {
		return e, err
	}
	return e, errors.New("stream ended within an event")
}
