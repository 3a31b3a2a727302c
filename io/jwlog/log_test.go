package jwlog

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestLines(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, 0).WithName("peers")
	log.Info("peer gone", "peer", "n2")
	log.V(1).Info("dropped")
	log.Error(errors.New("refused"), "exchange failed")

	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	assert.Equal(t, len(lines), 2)
	var first, second map[string]any
	assert.NilError(t, json.Unmarshal(lines[0], &first))
	assert.NilError(t, json.Unmarshal(lines[1], &second))
	assert.Equal(t, first["message"], "peer gone")
	assert.Equal(t, first["peer"], "n2")
	assert.Equal(t, first["logger"], "peers")
	assert.Equal(t, second["level"], "error")
	assert.Equal(t, second["error"], "refused")
	assert.Equal(t, second["logger"], "peers")
	_, stack := second["errorVerbose"]
	assert.Assert(t, !stack, "%s", lines[1])
}

func TestVerbosity(t *testing.T) {
	var out bytes.Buffer
	New(&out, 1).V(1).Info("kept")
	assert.Assert(t, out.Len() > 0)
}
