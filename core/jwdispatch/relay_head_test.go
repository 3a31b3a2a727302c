package jwdispatch

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwrequest"
)

// lettersAsEvents returns a stream with one event for each letter.
func lettersAsEvents(letters string) string {
	var b strings.Builder
	for _, l := range letters {
		b.WriteString("data: " + string(l) + "\n\n")
	}
	return b.String()
}

// recordingSink is a caller that records what it receives.
type recordingSink struct {
	heads []AnswerHead
	body  strings.Builder
	ends  []AnswerEnd
}

func (s *recordingSink) Head(h AnswerHead) error {
	s.heads = append(s.heads, h)
	return nil
}

func (s *recordingSink) Body(p []byte) error {
	_, err := s.body.Write(p)
	return err
}

func (s *recordingSink) End(e AnswerEnd) error {
	s.ends = append(s.ends, e)
	return nil
}

var errBroken = &CallError{Step: "read answer", Kind: BrokenOff, Err: errors.New("cut")}

// brokenReader returns a body that fails with errBroken after the text.
func brokenReader(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), iotest.ErrReader(errBroken))
}

// letterStream returns a stream with one event for each letter; if broken is
// set, it fails with errBroken after them.
func letterStream(status int, letters string, broken bool) *Answer {
	var r io.Reader = strings.NewReader(lettersAsEvents(letters))
	if broken {
		r = brokenReader(lettersAsEvents(letters))
	}
	return newAnswer(AnswerHead{Status: status, ContentType: "text/event-stream", Length: UnknownLength}, r)
}

func byteByByte(a *Answer) *Answer {
	a.Body = io.NopCloser(iotest.OneByteReader(a.Body))
	return a
}

func newAnswer(h AnswerHead, r io.Reader) *Answer { return &Answer{Head: h, Body: io.NopCloser(r)} }

// A target fails while its answer is being sent, and the request is retried.
// The caller must get each byte once and the end of the same answer, or an end
// that marks the answer as incomplete. Parts of two answers, or an error page in
// place of the remainder, would look to the caller like the draft it asked for.
func TestRelayRetriesAnswer(t *testing.T) {
	page := AnswerHead{Status: 500, ContentType: "text/plain", Length: 5}
	tests := map[string]struct {
		tries  []*Answer
		body   string
		served bool // if false, the last try ends in an error
	}{
		"first try complete":                  {[]*Answer{letterStream(200, "abc", false)}, "abc", true},
		"same text again":                     {[]*Answer{letterStream(200, "abc", true), letterStream(200, "abcdef", false)}, "abcdef", true},
		"broken three times":                  {[]*Answer{letterStream(200, "ab", true), letterStream(200, "a", true), letterStream(200, "abcd", true), letterStream(200, "abcdef", false)}, "abcdef", true},
		"byte by byte":                        {[]*Answer{letterStream(200, "abc", true), byteByByte(letterStream(200, "abcdef", false))}, "abcdef", true},
		"broken at the end":                   {[]*Answer{letterStream(200, "abc", true), letterStream(200, "abc", false)}, "abc", true},
		"another text":                        {[]*Answer{letterStream(200, "abc", true), letterStream(200, "abxdef", false)}, "abc", false},
		"shorter":                             {[]*Answer{letterStream(200, "abc", true), letterStream(200, "ab", false)}, "abc", false},
		"error page after text":               {[]*Answer{letterStream(200, "abc", true), newAnswer(page, strings.NewReader("sorry"))}, "abc", false},
		"error page before text":              {[]*Answer{letterStream(200, "", true), newAnswer(page, strings.NewReader("sorry"))}, "", false},
		"plain text after a head":             {[]*Answer{letterStream(200, "", true), newAnswer(AnswerHead{Status: 200, ContentType: "text/plain", Length: 3}, strings.NewReader("abc"))}, "", false},
		"plain, broken, then complete":        {[]*Answer{newAnswer(AnswerHead{Status: 200, Length: 6}, brokenReader("abc")), newAnswer(AnswerHead{Status: 200, Length: 6}, strings.NewReader("uvwxyz"))}, "uvwxyz", true},
		"plain of unknown length, broken":     {[]*Answer{newAnswer(AnswerHead{Status: 200, Length: UnknownLength}, brokenReader("abc")), newAnswer(AnswerHead{Status: 200, Length: 2}, strings.NewReader("uv"))}, "uv", true},
		"rejected by another node after text": {[]*Answer{letterStream(200, "abc", true), newAnswer(Refusal(504, jwrequest.Unknown, ReasonTarget, ""), strings.NewReader(""))}, "abc", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			caller := &recordingSink{}
			j := &job{
				Dispatcher: &Dispatcher{Counter: &recordingCounter{}, Now: func() time.Time { return time.Unix(1, 0) }},
				request:    &jwrequest.Request{}, entry: &jwcatalogue.Entry{Name: "menu"},
			}
			j.sink = &trackedSink{Sink: caller, job: j}
			rl := &relay{sink: j.sink}
			var err error
			for _, a := range tc.tries {
				if err = rl.copy(a); err == nil {
					break
				}
			}
			if err != nil {
				j.giveUp(t.Context(), err)
			}
			want := tc.body
			if strings.HasPrefix(caller.heads[0].ContentType, "text/event-stream") {
				want = lettersAsEvents(tc.body)
			}
			assert.Equal(t, caller.body.String(), want)
			assert.Equal(t, len(caller.heads), 1)
			assert.Equal(t, len(caller.ends), 1)
			assert.Equal(t, caller.ends[0].Outcome == jwrequest.Served, tc.served, "%+v", caller.ends[0])
			if tc.served {
				assert.Equal(t, caller.ends[0].Length, int64(len(want)))
			}
		})
	}
}
