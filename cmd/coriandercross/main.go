// Command coriandercross is the scheduler: it runs the interactive, batch, gang and service workloads of many teams on a
// shared fleet of workers. Its subcommands are in io/cccmds.
package main

import (
	"os"

	"coriandercross/io/cccmds"
)

func main() {
	os.Exit(cccmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
