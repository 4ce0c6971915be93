// Command tealexperiment runs experiments on routers and their modules, on loopback alone.
package main

import "tealpath/internal/experiment/command"

func main() {
	command.Main("tealexperiment")
}
