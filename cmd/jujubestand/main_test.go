package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"jujubestand": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"PORT1", "PORT2", "PORT3", "PORT4"} {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"http": call},
	})
}

// freeAddress returns a loopback address whose port was free a moment ago. Its host belongs to this test
// process, so that no other process takes the port before it is used.
func freeAddress() (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.200:0", 1+pid>>8%250, pid%250))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// call implements the script command "http METHOD ADDRESS/PATH BODY TEXT": it
// retries the call until the answer contains the text, or, with "!", until the
// call fails.
func call(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: http METHOD ADDRESS/PATH BODY TEXT")
	}
	const tries, pause = 500, 20 * time.Millisecond
	last := ""
	for range tries {
		body, err := callOnce(args[0], "http://"+args[1], args[2])
		if neg && err != nil || !neg && err == nil && strings.Contains(body, args[3]) {
			return
		}
		last = fmt.Sprint(body, err)
		time.Sleep(pause)
	}
	ts.Fatalf("http %v: %s", args, last)
}

func callOnce(method, target, body string) (string, error) {
	r, err := http.NewRequest(method, target, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Close = true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return string(answer), err
}
