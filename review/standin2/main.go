package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// main plays one case: standin2 CASE PROGRAM RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit status.
func run(name, program, recordPath string) int {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	rec := &record{out: out, began: time.Now()}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	if program, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	held := false
	switch name {
	case "oldroute":
		held, err = runOldRoute(rec, program, dir, trouble)
	case "scheduled":
		held, err = runScheduled(rec, program, dir, trouble)
	case "lease":
		held, err = runLease(rec, program, dir, trouble)
	case "manyruns":
		held, err = runManyRuns(rec, program, dir, trouble)
	case "advice":
		held, err = runAdvice(rec, program, dir, trouble)
	default:
		err = fmt.Errorf("unknown case %q", name)
	}
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case !held:
		rec.printf("the rule was broken")
		return 1
	}
	rec.printf("the rule held")
	return 0
}
