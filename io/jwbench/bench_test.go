package jwbench

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTrial(t *testing.T) {
	cfg := Config{Seeds: []uint64{1}, Ablations: true}
	if s := os.Getenv("SC"); s != "" {
		cfg.Scenarios = strings.Split(s, ",")
	}
	if s := os.Getenv("DE"); s != "" {
		cfg.Deployments = strings.Split(s, ",")
	}
	if s := os.Getenv("PO"); s != "" {
		cfg.Policies = strings.Split(s, ",")
	}
	assert.NilError(t, Policies(os.Stdout, cfg))
}
