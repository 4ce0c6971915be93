package testcluster

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// usedAddresses holds every address that FreeAddress returned in this process. An address is still free until its
// instance listens on it, so parallel experiments could otherwise get the same one.
var usedAddresses sync.Map

// FreeAddress returns a loopback address that no process listens on. It returns each address only once. Where the
// machine accepts all of 127.0.0.0/8, it uses a host derived from the process ID: on 127.0.0.1, an outgoing
// connection of another process could take the port before the caller listens on it.
func FreeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.2", 2+os.Getpid()%250, os.Getpid()/250%250)
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			listener, err = net.Listen("tcp", "127.0.0.1:0")
		}
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		closeAll(listener)
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address, nil
		}
	}
}
