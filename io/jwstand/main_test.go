package jwstand

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// TestMain also holds that stand-ins end with all they started.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(idleConnCloser{m})
}

// idleConnCloser ends the idle connections of the tests' own HTTP client.
type idleConnCloser struct {
	m *testing.M
}

// Run implements goleak.TestingM.
func (c idleConnCloser) Run() int {
	defer http.DefaultClient.CloseIdleConnections()
	return c.m.Run()
}
