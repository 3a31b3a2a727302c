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
	status     int
	outcome    jwrequest.Outcome
	complete   bool // the end of the answer came
	correct    bool // the answer is that of this request
	firstAt    time.Time
	gaps       []time.Duration // between tokens
	retryAfter time.Duration   // when to come back; 0 when not told
	hosts      []netip.AddrPort
	region     string // that served it, "" when not told
}

// readAnswer takes a response to its end.
func readAnswer(res *http.Response, a Arrival, now func() time.Time) answer {
	ans := answer{
		status:     res.StatusCode,
		outcome:    jwrequest.Outcome(res.Header.Get("Jujube-Outcome")),
		retryAfter: parseRetryAfter(res.Header),
		region:     res.Header.Get("Jujube-Served-By"),
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		ans.readStream(res.Body, a, now)
	} else {
		ans.readWhole(res.Body, a, now)
	}
	ans.setOutcome(a.Direct)
	return ans
}

// setOutcome fills in the outcome where no header could tell it.
func (ans *answer) setOutcome(direct bool) {
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

func parseRetryAfter(header http.Header) time.Duration {
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
	ans.firstAt = now()
	if ans.status != http.StatusOK {
		ans.hosts = decodeHosts(data)
		return
	}
	if a.Kind.Target == Service {
		var echo jwstand.Echo
		ans.correct = json.Unmarshal(data, &echo) == nil && echo.Body == string(a.Body)
		return
	}
	var c jwstand.CompletionAnswer
	if json.Unmarshal(data, &c) == nil && len(c.Choices) == 1 {
		ans.correct = c.Choices[0].Text == jwstand.TextOf(a.Prompt, a.Tokens)
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

// endEventData is the data of the event with which a node ends a stream.
type endEventData struct {
	Outcome jwrequest.Outcome `json:"outcome"`
}

// readStream takes tokens until the stream's end. Through a node only its own
// last event is the end; a direct stream ends as the engine ends it.
func (ans *answer) readStream(body io.Reader, a Arrival, now func() time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var b strings.Builder
	var previous time.Time
	for {
		e, err := nextEvent(scanner)
		if err != nil {
			return
		}
		receivedAt := now()
		switch {
		case e.name == "done" || e.name == "error":
			ans.endStream(e, b.String() == jwstand.TextOf(a.Prompt, a.Tokens))
			return
		case e.data == "[DONE]":
			if a.Direct {
				ans.endStream(event{name: "done"}, b.String() == jwstand.TextOf(a.Prompt, a.Tokens))
				return
			}
			continue
		}
		token, ok := parseToken(e.data)
		if !ok {
			continue
		}
		b.WriteString(token)
		if ans.firstAt.IsZero() {
			ans.firstAt = receivedAt
		} else {
			ans.gaps = append(ans.gaps, receivedAt.Sub(previous))
		}
		previous = receivedAt
	}
}

func (ans *answer) endStream(e event, correct bool) {
	var data endEventData
	if json.Unmarshal([]byte(e.data), &data) == nil && data.Outcome != "" {
		ans.outcome = data.Outcome
	}
	ans.complete = e.name == "done"
	ans.correct = ans.complete && correct
}

func parseToken(data string) (string, bool) {
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
