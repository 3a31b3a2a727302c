package jwstand

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// TestMain also holds that stand-ins end with all they started.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(closing{m})
}

// closing ends the idle connections of the tests' own HTTP client.
type closing struct {
	m *testing.M
}

// Run implements goleak.TestingM.
func (c closing) Run() int {
	defer http.DefaultClient.CloseIdleConnections()
	return c.m.Run()
}
