// Command stand2 plays the cases of a review: the platform's store, runners, clients, and nodes as processes. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(trouble bool) (broken string){}

func main() {
	code := 2
	defer func() {
		if recover() != nil {
			code = 2
		}
		os.Exit(code)
	}()
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE")
		return
	}
	broken := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	if broken == "" {
		fmt.Println("the rule held")
		code = 0
		return
	}
	fmt.Println("the rule was broken:", broken)
	code = 1
}
