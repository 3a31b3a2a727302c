package jwgateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/io/jwconn"
)

// The length of answers is learned from streams that one target answered from their first event on.
func TestWholeAnswer(t *testing.T) {
	answer := func(status int, contentType string) *jwconn.Answer {
		return &jwconn.Answer{Status: status, Header: http.Header{"Content-Type": {contentType}}}
	}
	stream := answer(http.StatusOK, "text/event-stream; charset=utf-8")
	cases := map[string]struct {
		answer    *jwconn.Answer
		sends     int
		lastEvent string
		events    bool
		want      bool
	}{
		"stream":                  {stream, 1, "", true, true},
		"sent twice":              {stream, 2, "", true, false},
		"resumed by the caller":   {stream, 1, "7", true, false},
		"no events":               {stream, 1, "", false, false},
		"error":                   {answer(http.StatusBadRequest, "text/event-stream"), 1, "", true, false},
		"not a stream of events":  {answer(http.StatusOK, "application/json"), 1, "", true, false},
		"error without a content": {answer(http.StatusTooManyRequests, ""), 1, "", true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &request{CallerHeaders: CallerHeaders{LastEvent: c.lastEvent}}
			for range c.sends {
				q.retries.Reached()
			}
			p := progress{stream: isStream(c.answer)}
			if c.events {
				p.recordEvents(time.Now(), time.Now())
			}
			assert.Equal(t, p.whole(q), c.want)
		})
	}
}
