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
	maxLine   = 1 << 20  // bytes of a line of a stream
	maxAnswer = 16 << 20 // bytes of an answer that is no stream
)

// answer is the result of one call.
type answer struct {
	status     int // HTTP status
	outcome    jwrequest.Outcome
	complete   bool             // the end of the answer was received
	correct    bool             // the content is the expected one for this request
	firstAt    time.Time        // when the first token came, or the complete answer if it is no stream
	gaps       []time.Duration  // times between tokens
	retryAfter time.Duration    // from the Retry-After header; 0 without it
	hosts      []netip.AddrPort // hosts to use instead, if the answer names any
	region     string           // region that served the request; "" if the answer does not name it
}

// readAnswer reads a response to its end.
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
		ans.readBody(res.Body, a, now)
	}
	ans.setOutcome(a.Direct)
	return ans
}

// setOutcome derives the outcome where no header or event gives it, and
// replaces the outcome served if the answer is incomplete.
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

// parseRetryAfter returns the Retry-After header, in seconds, as a duration. It
// returns 0 if the header is missing or invalid.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func (ans *answer) readBody(body io.Reader, a Arrival, now func() time.Time) {
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

// decodeHosts reads the hosts to use instead. They are encoded as strings or as
// objects with an address.
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

// event is one server-sent event.
type event struct {
	name string
	data string
}

// endEventData is the data of the event with which a node ends a stream.
type endEventData struct {
	Outcome jwrequest.Outcome `json:"outcome"`
}

// readStream reads tokens until the stream ends. A stream through a node is
// complete only with the node's own last event; a direct stream is complete
// with the last event of the engine.
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

// endStream records the last event of a stream; correct reports whether the
// text was the expected one.
func (ans *answer) endStream(e event, correct bool) {
	var end endEventData
	if json.Unmarshal([]byte(e.data), &end) == nil && end.Outcome != "" {
		ans.outcome = end.Outcome
	}
	ans.complete = e.name == "done"
	ans.correct = ans.complete && correct
}

// parseToken returns the token in the data of an event.
func parseToken(data string) (string, bool) {
	var c jwstand.CompletionAnswer
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return "", false
	}
	return c.Choices[0].Text, true
}

// nextEvent reads one event, up to the blank line that ends it.
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
	return e, errors.New("stream ended before the end of an event")
}
