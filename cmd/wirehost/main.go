// Command wirehost runs routers in simulated time for the platform's bench: it reads batches of events from standard
// input and writes the replies to standard output.
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
