// Command teallab is the former name of tealexperiment, kept for scripts that call it.
package main

import "tealpath/internal/experiment/command"

func main() {
	command.Main("teallab")
}
