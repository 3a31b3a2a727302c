package jwrest

import (
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"github.com/zeromicro/go-zero/rest/router"
)

// forceQuitDelay is how long go-zero waits after SIGTERM before it signals the
// process again. Its default of 5.5 s would end a program that no longer catches
// the signal by then, and with it the streams that a planned stop lets finish.
const forceQuitDelay = 30 * 24 * time.Hour

var quietOnce sync.Once

// UnmatchedHandlers holds the handlers of requests that match no route. Its zero value gives
// net/http's answers.
type UnmatchedHandlers struct {
	NotFound   http.Handler // unknown path
	NotAllowed http.Handler // known path, but no route for the method; it sets the header Allow itself
}

// Handler returns a handler for the routes. Their paths may hold variables such
// as ":name", whose values Var returns.
func Handler(log logr.Logger, routes []rest.Route, unmatched UnmatchedHandlers) (http.Handler, error) {
	// Without a custom router, rest would wrap the handler for unknown paths and
	// start a trace span for each such request.
	customRouter := router.NewRouter()
	customRouter.SetNotFoundHandler(unmatched.NotFound)
	customRouter.SetNotAllowedHandler(unmatched.NotAllowed)
	server, err := rest.NewServer(minimalConfig(), rest.WithRouter(customRouter))
	if err != nil {
		return nil, errors.Wrap(err, "set up rest")
	}
	DisableGoZeroDefaults()
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "bind routes")
	}
	return recoverPanics(log, http.HandlerFunc(serverless.Serve)), nil
}

// Var returns the value of a variable in the request's path, empty if there is
// none.
func Var(r *http.Request, name string) string { return pathvar.Vars(r)[name] }

// DisableGoZeroDefaults disables go-zero's log lines and statistics, and its handling of SIGTERM
// that would end the process. Handler calls it; programs that use only go-zero's
// client have to call it themselves.
func DisableGoZeroDefaults() {
	quietOnce.Do(func() {
		// SetUp takes effect only once, so later calls leave the log disabled.
		_ = logx.SetUp(logx.LogConf{})
		logx.Disable()
		stat.DisableLog()
		proc.SetTimeToForceQuit(forceQuitDelay)
	})
}

// minimalConfig returns a configuration of rest with all middleware off, so that
// only the node's own limits and deadlines apply.
func minimalConfig() rest.RestConf {
	cfg := rest.RestConf{}
	cfg.Name = "jujubewheel"
	cfg.Telemetry.Disabled = true
	return cfg
}

// recoverPanics logs a panic of a handler and then aborts the connection.
//
// The recovery of rest writes a 500 and returns, which ends a stream that has
// begun in the same way as a complete one: the caller would take an incomplete
// answer for a complete one. After an abort, the answer has no end, which the
// caller detects.
func recoverPanics(log logr.Logger, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p != http.ErrAbortHandler {
				log.Error(errors.Errorf("panic: %v", p), "handler failed",
					"method", r.Method, "path", r.URL.Path, "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
