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

// forceQuit is how long go-zero waits after SIGTERM before it signals the
// process once more. Its own 5.5 s would end a program that no longer catches
// the signal then, and with it the streams that a planned stop lets finish.
const forceQuitDelay = 30 * 24 * time.Hour

var quietOnce sync.Once

// Stray answers requests that no route takes. Its zero value gives net/http's
// answers.
type Stray struct {
	NotFound   http.Handler // unknown path
	NotAllowed http.Handler // known path, but another method; sets Allow itself
}

// Handler returns a handler for the routes; paths hold variables as ":name",
// to be read with Var.
func Handler(log logr.Logger, routes []rest.Route, stray Stray) (http.Handler, error) {
	// A router of our own keeps these answers; rest's would start a trace span
	// for each stray request.
	customRouter := router.NewRouter()
	customRouter.SetNotFoundHandler(stray.NotFound)
	customRouter.SetNotAllowedHandler(stray.NotAllowed)
	server, err := rest.NewServer(minimalConfig(), rest.WithRouter(customRouter))
	if err != nil {
		return nil, errors.Wrap(err, "set up rest")
	}
	Quiet()
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "bind routes")
	}
	return recoverPanics(log, http.HandlerFunc(serverless.Serve)), nil
}

// Var returns a variable of the request's path, empty when there is none.
func Var(r *http.Request, name string) string { return pathvar.Vars(r)[name] }

// Quiet stops go-zero's own log lines and statistics and takes away its power
// to end the process; Handler calls it, programs that use only go-zero's client
// call it themselves.
func Quiet() {
	quietOnce.Do(func() {
		// Setting up once here makes later set-ups leave the log alone.
		_ = logx.SetUp(logx.LogConf{})
		logx.Disable()
		stat.DisableLog()
		proc.SetTimeToForceQuit(forceQuitDelay)
	})
}

// bareConf is rest with every middleware off, so that the node's own limits
// and deadlines are the only ones.
func minimalConfig() rest.RestConf {
	cfg := rest.RestConf{}
	cfg.Name = "jujubewheel"
	cfg.Telemetry.Disabled = true
	return cfg
}

// recovered logs a panic of a handler and then aborts the connection.
//
// rest's own recovery writes a 500 and returns, which ends a stream that had
// begun as if it were whole: the caller would take half an answer for all of
// it. Aborting leaves the answer without its end, which the caller notices.
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
