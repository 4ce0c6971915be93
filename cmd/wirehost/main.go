// Command wirehost hosts routers on the bench's wire: batches on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"tealpath/host"
)

func main() {
	if err := host.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
