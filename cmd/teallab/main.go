// Command teallab does the same as tealexperiment. It exists for scripts that use this former name.
package main

import "tealpath/internal/experiment/command"

func main() {
	command.Main("teallab")
}
