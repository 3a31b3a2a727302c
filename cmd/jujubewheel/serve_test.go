package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

func TestServe(t *testing.T) {
	dir, err := buildPrograms()
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", dir+string(os.PathListSeparator)+env.Getenv("PATH"))
			return listeners(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code":      codeCommand,
			"listening": listeningCommand,
			"settings":  settingsCommand,
			"replace":   replaceCommand,
		},
	})
}

// listeners sets TAKEN to an address that is in use, and DOWN and PORT1 to PORT3
// to free addresses.
func listeners(env *testscript.Env) error {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	env.Defer(func() { _ = taken.Close() })
	env.Setenv("TAKEN", taken.Addr().String())
	var free []net.Listener
	for _, name := range []string{"DOWN", "PORT1", "PORT2", "PORT3"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		free = append(free, l)
		env.Setenv(name, l.Addr().String())
	}
	for _, l := range free {
		_ = l.Close()
	}
	return nil
}

// settingsCommand implements the script command "settings FILE CALLERS OPERATORS
// NODES", which writes the settings of a node that listens on these addresses.
func settingsCommand(ts *testscript.TestScript, _ bool, args []string) {
	text := strings.NewReplacer("CALLERS", args[1], "OPERATORS", args[2], "NODES", args[3], "DOWN", ts.Getenv("DOWN")).
		Replace(ts.ReadFile("node.jsonc"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// replaceCommand implements the script command "replace FILE FROM TO", which
// replaces a text that the file must contain.
func replaceCommand(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	if !strings.Contains(text, args[1]) {
		ts.Fatalf("%s has no %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, args[1], args[2])), 0o600))
}

// codeCommand implements the script command "code N COMMAND...", which runs a
// command that must end with exit code N.
func codeCommand(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	var exit interface{ ExitCode() int }
	if errors.As(err, &exit) {
		got = fmt.Sprint(exit.ExitCode())
	}
	if got != args[0] {
		ts.Fatalf("exit code %s (%v), want %s", got, err, args[0])
	}
}

// listeningCommand implements the script command "listening ADDRESS", which
// waits until something listens on the address.
func listeningCommand(ts *testscript.TestScript, _ bool, args []string) {
	at, err := netip.ParseAddrPort(args[0])
	ts.Check(err)
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", at.String())
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	ts.Fatalf("nothing listens at %s", at)
}
