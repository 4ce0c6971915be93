package testcluster

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// usedAddresses holds every address that FreeAddress returned in this process: without it, two experiments side
// by side could be given the same one, as nobody listens on it yet.
var usedAddresses sync.Map

// FreeAddress returns an address of a loopback host that nobody listens on now, each once. Where all of
// 127.0.0.0/8 is the machine's own, the host is one that is used for nothing else: on 127.0.0.1 another
// process's outgoing connection may take the port in between.
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
