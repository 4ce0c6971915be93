package testcluster

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// usedAddresses holds the addresses that FreeAddress has returned. Otherwise two experiments in this process could get
// the same address before one of them listens on it.
var usedAddresses sync.Map

// FreeAddress returns a loopback address on which no process listens. It returns each address only once. If the
// machine accepts all of 127.0.0.0/8, the host is one that nothing else uses: on 127.0.0.1 an outgoing connection of
// another process could take the port before the caller listens on it.
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
