// Command measure prints the figures that the users measure, each beside its baseline.
package main

import (
	"fmt"
	"os"

	"coriandercross/io/ccmeasure"
)

func main() {
	if err := ccmeasure.Main(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
