// Command tealexperiment runs experiments on routers and their modules. It uses only the loopback network.
package main

import "tealpath/internal/experiment/command"

func main() {
	command.Main("tealexperiment")
}
