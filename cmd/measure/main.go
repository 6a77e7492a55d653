// Command measure prints performance figures, each with its baseline and bound.
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
