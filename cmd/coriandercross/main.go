// Command coriandercross schedules unlike workloads for many teams.
package main

import (
	"os"

	"coriandercross/io/cccmds"
)

func main() {
	os.Exit(cccmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
