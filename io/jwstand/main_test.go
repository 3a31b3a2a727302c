package jwstand

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// TestMain also checks that stand-ins leave no goroutines behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(idleConnCloser{m})
}

// idleConnCloser closes the idle connections of the tests' HTTP client after
// the tests.
type idleConnCloser struct {
	m *testing.M
}

// Run implements goleak.TestingM.
func (c idleConnCloser) Run() int {
	defer http.DefaultClient.CloseIdleConnections()
	return c.m.Run()
}
