// Command standin3 plays the cases of review/REPORT-3.md that are scripts: it starts entry processes of the project and
// stand-ins for the store, the workers and the clients, and checks a rule of the platform's pages.
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// play is a case. It reports the breaks of rules to the record of the system.
type play func(s *system, trouble bool) error

var plays = map[string]play{
	"crashes":  playCrashes,
	"ends":     playEnds,
	"lasts":    playLasts,
	"replaced": playReplaced,
	"unstored": playUnstored,
}

// maxPlay bounds a case.
const maxPlay = 110 * time.Second

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return 2
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	done := make(chan error, 1)
	go func() { done <- plays[args[0]](s, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-time.After(maxPlay):
		err = fmt.Errorf("the case took longer than %s", maxPlay)
	}
	keep := os.Getenv("KEEP") != ""
	if keep {
		fmt.Fprintln(os.Stderr, "logs are in", s.dir)
	}
	s.close(keep)
	switch {
	case err != nil:
		rec.add("error", "%v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(rec.broken) > 0:
		fmt.Printf("broken %d times; the first: %s\n", len(rec.broken), rec.broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
