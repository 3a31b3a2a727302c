// Command stand runs a case of the review: it starts processes of the project beside stand-ins of the
// platform, the runners and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the name of a case to its function, which returns whether the rule held. trouble says
// whether the disruption is made.
var cases = map[string]func(f *fleet, s *store, rec *record, trouble bool) bool{
	"earlyanswer": earlyAnswer,
	"resetanswer": resetAnswer,
	"refusedbody": refusedBody,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: stand CASE FOLDER TROUBLE, in the root of the repository; TROUBLE is 0 for none")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] != "0"))
}

func play(name, folder string, trouble bool) (status int) {
	rec := newRecord(filepath.Join(folder, "record.txt"))
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	program, err := filepath.Abs("target/jujubewheel")
	if err != nil {
		return 2
	}
	var f *fleet
	defer func() {
		p := recover()
		if f != nil {
			f.end()
		}
		if c, ok := p.(cantRun); ok {
			rec.line("can't run: %v", c.err)
			fmt.Println("can't run:", c.err)
			status = 2
		} else if p != nil {
			panic(p)
		}
	}()
	s := newStore()
	f = newFleet(dir, program, s)
	if cases[name](f, s, rec, trouble) {
		rec.line("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	rec.line("the rule was broken")
	fmt.Println("the rule was broken")
	return 1
}
