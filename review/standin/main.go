// Command standin runs one case of the review: it starts the system's processes and stand-ins for the platform, the workers
// and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit bounds the time of a case.
const limit = 115 * time.Second

var cases = map[string]func(rec *record, program string, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(rec, program, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	var out result
	select {
	case out = <-done:
	case <-time.After(limit):
		out.err = fmt.Errorf("the case took too long")
	}
	switch {
	case out.err != nil:
		rec.log("could not run: %v", out.err)
		fmt.Println("could not run:", out.err)
		os.Exit(2)
	case out.broken:
		rec.log("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
}
