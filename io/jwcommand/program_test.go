package jwcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"jujubewheel/core/jwcatalogue"
	"jujubewheel/core/jwexplain"
	"jujubewheel/core/jwpeer"
	"jujubewheel/core/jwrequest"
	"jujubewheel/core/jwstore"
	"jujubewheel/core/jwtarget"
	"jujubewheel/io/jwaudit"
	"jujubewheel/io/jwmeter"
	"jujubewheel/io/jwoperate"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jujubewheel": func() {
			p := &Program{Args: os.Args[1:], Stdout: os.Stdout, Stderr: os.Stderr, Node: fakeNode{}, Demo: fakeDemo{}}
			os.Exit(int(p.Run(context.Background())))
		},
	})
}

// fakeDemo is a Demo that prints one line.
type fakeDemo struct{}

func (fakeDemo) Run(_ context.Context, w io.Writer) error {
	_, err := fmt.Fprintln(w, "demo ran")
	return err
}

// fakeNode is a Runner that adds one audit record and fails.
type fakeNode struct{}

func (fakeNode) Run(_ context.Context, n RunParams) error {
	n.Audit.Add(jwaudit.Record{Kind: jwaudit.NodeState, Subject: n.Settings.Node, To: "serving"})
	return errors.New("node ended")
}

// fakeFleet is a fleet that confirms revisions, except for the nodes in missing.
type fakeFleet struct {
	mu      sync.Mutex
	missing []string
	store   jwstore.Memory
}

func (f *fakeFleet) Status(context.Context, uint64) (bool, []string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.missing) == 0, f.missing, nil
}

func (f *fakeFleet) Forget(_ context.Context, _, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missing = slices.DeleteFunc(f.missing, func(n string) bool { return n == name })
	return nil
}

const token = "0123456789abcdef"

// serve starts the operators' and callers' interfaces for one script.
func (f *fakeFleet) serve(env *testscript.Env) error {
	table, trail := &jwcatalogue.Table{}, &jwaudit.Trail{Node: "n1"}
	tracer := &jwexplain.Tracer{Node: "n1", Region: "north"}
	r := &jwrequest.Request{ID: "r1", Workspace: "hall", Entry: "menu", Region: "north"}
	tracer.Step(r, "place", "away south")
	tracer.Step(r, "target", "lightest 10.0.0.9:80")
	tracer.End(r, jwrequest.Unknown, "targetFailed", "")
	trail.Add(jwaudit.Record{Kind: jwaudit.Applied, Subject: "menu", Revision: 1, Detail: "came from the store"})
	o := &jwoperate.Operators{
		Token: token, Table: table, Acceptance: f, Members: f, Explainer: tracer, Audit: trail,
		Editor:  &jwcatalogue.Editor{Store: &f.store, Table: table, RetryDelay: time.Millisecond},
		Peers:   &jwpeer.Table{},
		Targets: &jwtarget.Table{},
		Metrics: (&jwmeter.Meter{}).Handler(),
		Log:     logr.Discard(),
	}
	h, err := o.Handler()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "" {
			http.Error(w, "a caller's port got the operators' token", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"hosts": []string{"10.0.0.1:80", "10.0.0.2:80"}, "trustMillis": 5000})
	})
	s := httptest.NewServer(mux)
	env.Defer(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	env.Setenv("JUJUBE_OPERATORS", address)
	env.Setenv("JUJUBE_CALLERS", address)
	env.Setenv("JUJUBE_TOKEN", token)
	env.Setenv("JUJUBE_AUTHOR", "amal")
	env.Values["fleet"] = f
	return nil
}

func TestScripts(t *testing.T) {
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples"))
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return new(fakeFleet).serve(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// missing NODE... sets the nodes that confirm nothing.
			"missing": func(ts *testscript.TestScript, _ bool, args []string) {
				f := ts.Value("fleet").(*fakeFleet)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.missing = args
			},
			// store up|down sets whether the key-value service answers.
			"store": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value("fleet").(*fakeFleet).store.SetDown(args[0] == "down")
			},
			// replace FILE FROM TO changes a file.
			"replace": func(ts *testscript.TestScript, _ bool, args []string) {
				text := strings.ReplaceAll(ts.ReadFile(args[0]), args[1], args[2])
				ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
			},
			// code N COMMAND... runs a command that must end with exit code N.
			"code": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[1], args[2:]...)
				got := "0"
				var exit interface{ ExitCode() int }
				if errors.As(err, &exit) {
					got = fmt.Sprint(exit.ExitCode())
				}
				if got != args[0] {
					ts.Fatalf("exit code %s (%v), want %s", got, err, args[0])
				}
			},
		},
	})
}

func TestUnknownOutcome(t *testing.T) {
	// The answer to an edit never comes. The edit may have been written, so the
	// error must say to send it again with the same id.
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer s.Close()
	t.Setenv("JUJUBE_TOKEN", token)
	var out, errs strings.Builder
	p := &Program{Stdout: &out, Stderr: &errs, Args: []string{
		"catalogue", "remove", "menu", "--revision=1", "--author=amal", "--reason=r", "--edit-id=e7",
		"--at", strings.TrimPrefix(s.URL, "http://"),
	}}
	assert.Equal(t, p.Run(t.Context()), Unknown)
	assert.Assert(t, strings.Contains(errs.String(), "send again with --edit-id e7"), errs.String())
}
