package jwexplain

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubewheel/core/jwdispatch"
	"jujubewheel/core/jwrequest"
)

func request(id string) *jwrequest.Request {
	return &jwrequest.Request{
		ID: id, Workspace: "hall-irbid", Entry: "menu-draft", Key: "secret-key",
		Region: "irbid-a", Body: []byte("secret body"),
	}
}

func TestTrace(t *testing.T) {
	now := time.Unix(1000, 0)
	tracer := &Tracer{Node: "n1", Region: "irbid-a", Now: func() time.Time { return now }}
	r := request("r1")
	tracer.Step(r, "admitted", "share 3 of 10")
	now = now.Add(time.Millisecond)
	tracer.Step(r, "target", strings.Repeat("x", maxDetail+1))
	r.Hops = r.Hops.With(jwrequest.Hop{Node: "n1", Region: "irbid-a"})
	tracer.End(r, jwrequest.Served, jwdispatch.ReasonNone, "irbid-a")

	found := tracer.Find("r1")
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Steps[1].AfterMicros, int64(1000))
	assert.Equal(t, len(found[0].Steps[1].Detail), maxDetail)
	assert.Equal(t, found[0].Hops[0].Node, "n1")
	assert.Equal(t, len(tracer.Find("r2")), 0)

	text, err := json.Marshal(found)
	assert.NilError(t, err)
	for _, secret := range []string{"secret", "hall-irbid"} {
		assert.Assert(t, !strings.Contains(string(text), secret), "%s", text)
	}
}

func TestBoundElsewhere(t *testing.T) {
	// A caller sends bound data to a node of another region, which rejects it.
	// Nothing of the request may be kept there.
	tracer := &Tracer{Node: "n1", Region: "amman-a"}
	r := request("r1")
	tracer.Step(r, "came", "") // before the directory lookup
	r.Bound = true
	tracer.Step(r, "refused", "")
	tracer.End(r, jwrequest.NotRun, jwdispatch.ReasonRegion, "")
	assert.Equal(t, len(tracer.Find("r1")), 0)
	assert.Equal(t, len(tracer.running), 0)
}

func TestFailuresOutliveSuccesses(t *testing.T) {
	// One request fails among many that are served. Its trace must not be
	// evicted by theirs.
	tracer := &Tracer{Region: "irbid-a", Size: 4}
	tracer.End(request("failed"), jwrequest.Unknown, jwdispatch.ReasonTarget, "")
	for i := range 10 {
		tracer.End(request(fmt.Sprint("r", i)), jwrequest.Served, "", "")
	}
	assert.Equal(t, len(tracer.Find("failed")), 1)
	assert.Equal(t, len(tracer.Find("r5")), 0)
	assert.Equal(t, len(tracer.Find("r9")), 1)
}

func TestLimits(t *testing.T) {
	tracer := &Tracer{Region: "irbid-a"}
	r := request("long")
	for range maxSteps + 3 {
		tracer.Step(r, "try", "")
	}
	tracer.End(r, jwrequest.NotRun, "", "")
	assert.Equal(t, tracer.Find("long")[0].Dropped, 3)
	for range maxRunning + 2 {
		tracer.Step(request("stuck"), "came", "")
	}
	assert.Equal(t, tracer.Untraced(), uint64(2))
	var none *Tracer
	none.Step(r, "", "")
	none.End(r, jwrequest.Served, "", "")
	assert.Equal(t, len(none.Find("long")), 0)
}
