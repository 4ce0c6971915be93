// Command wirehost hosts routers on the bench's wire: batches on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"tealpath/internal/simulator"
)

func main() {
	if err := simulator.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
