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

// eachEvent makes each letter an event of a stream.
func eachEvent(letters string) string {
	var b strings.Builder
	for _, l := range letters {
		b.WriteString("data: " + string(l) + "\n\n")
	}
	return b.String()
}

// taken is a caller that keeps what it is given.
type taken struct {
	heads []Head
	body  strings.Builder
	ends  []End
}

func (s *taken) Head(h Head) error {
	s.heads = append(s.heads, h)
	return nil
}

func (s *taken) Body(p []byte) error {
	_, err := s.body.Write(p)
	return err
}

func (s *taken) End(e End) error {
	s.ends = append(s.ends, e)
	return nil
}

var errCut = &CallError{Step: "read answer", Fate: Broken, Err: errors.New("cut")}

// cut is a body that breaks off after the text.
func cut(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), iotest.ErrReader(errCut))
}

// streamOf is a stream of one event for each letter; cut tells that it breaks
// off after them.
func streamOf(status int, letters string, broken bool) *Answer {
	var r io.Reader = strings.NewReader(eachEvent(letters))
	if broken {
		r = cut(eachEvent(letters))
	}
	return answerOf(Head{Status: status, ContentType: "text/event-stream", Length: UnknownLength}, r)
}

func byteByByte(a *Answer) *Answer {
	a.Body = io.NopCloser(iotest.OneByteReader(a.Body))
	return a
}

func answerOf(h Head, r io.Reader) *Answer { return &Answer{Head: h, Body: io.NopCloser(r)} }

// A target goes down while its answer is on the way, and the request is tried
// again. The caller must get each byte once and the end of the same answer, or
// be told that the answer broke off; two halves of two answers, or an error
// page in place of the rest, would pass for the draft that was asked for.
func TestRelayHeads(t *testing.T) {
	page := Head{Status: 500, ContentType: "text/plain", Length: 5}
	tests := map[string]struct {
		tries  []*Answer
		body   string
		served bool // else the last try ends in an error
	}{
		"first try whole":              {[]*Answer{streamOf(200, "abc", false)}, "abc", true},
		"same again":                   {[]*Answer{streamOf(200, "abc", true), streamOf(200, "abcdef", false)}, "abcdef", true},
		"cut three times":              {[]*Answer{streamOf(200, "ab", true), streamOf(200, "a", true), streamOf(200, "abcd", true), streamOf(200, "abcdef", false)}, "abcdef", true},
		"byte by byte":                 {[]*Answer{streamOf(200, "abc", true), byteByByte(streamOf(200, "abcdef", false))}, "abcdef", true},
		"cut at the end":               {[]*Answer{streamOf(200, "abc", true), streamOf(200, "abc", false)}, "abc", true},
		"another text":                 {[]*Answer{streamOf(200, "abc", true), streamOf(200, "abxdef", false)}, "abc", false},
		"shorter":                      {[]*Answer{streamOf(200, "abc", true), streamOf(200, "ab", false)}, "abc", false},
		"error page after text":        {[]*Answer{streamOf(200, "abc", true), answerOf(page, strings.NewReader("sorry"))}, "abc", false},
		"error page before text":       {[]*Answer{streamOf(200, "", true), answerOf(page, strings.NewReader("sorry"))}, "", false},
		"plain after a bare head":      {[]*Answer{streamOf(200, "", true), answerOf(Head{Status: 200, ContentType: "text/plain", Length: 3}, strings.NewReader("abc"))}, "", false},
		"plain, cut, then whole":       {[]*Answer{answerOf(Head{Status: 200, Length: 6}, cut("abc")), answerOf(Head{Status: 200, Length: 6}, strings.NewReader("uvwxyz"))}, "uvwxyz", true},
		"plain of no length, cut":      {[]*Answer{answerOf(Head{Status: 200, Length: UnknownLength}, cut("abc")), answerOf(Head{Status: 200, Length: 2}, strings.NewReader("uv"))}, "uv", true},
		"refused by another in midway": {[]*Answer{streamOf(200, "abc", true), answerOf(Refusal(504, jwrequest.Unknown, ReasonTarget, ""), strings.NewReader(""))}, "abc", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			caller := &taken{}
			j := &job{
				Dispatcher: &Dispatcher{Counter: &counted{}, Now: func() time.Time { return time.Unix(1, 0) }},
				request:    &jwrequest.Request{}, entry: &jwcatalogue.Entry{Name: "menu"},
			}
			j.sink = &ending{Sink: caller, job: j}
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
				want = eachEvent(tc.body)
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
