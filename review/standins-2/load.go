package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const hangUp = syscall.SIGHUP

// load has clients ask a router for objects, at so many requests a second, until the returned function is called. That
// returns how the requests ended.
func load(address string, objects, perSecond int) (stop func() string) {
	ending := make(chan bool)
	var clients sync.WaitGroup
	var mu sync.Mutex
	kinds := map[string]int{}
	const connections = 4
	for range connections {
		clients.Go(func() {
			var c *client
			var open sync.WaitGroup
			defer open.Wait()
			tick := time.NewTicker(time.Second * connections / time.Duration(perSecond))
			defer tick.Stop()
			for {
				select {
				case <-ending:
					return
				case <-tick.C:
				}
				if c == nil {
					var err error
					if c, err = dialClient(address); err != nil {
						c = nil
						continue
					}
				}
				object := fmt.Sprintf("%016x", 0xabc0000+rand.IntN(objects))
				_, got, err := c.call(request("stills", object, 0, 7, 2500*time.Millisecond), nil)
				if err != nil {
					_ = c.Close()
					c = nil
					continue
				}
				open.Go(func() {
					kind := "unanswered"
					select {
					case answered, ok := <-got:
						kind = answered.kind
						if !ok {
							kind = "connection ended"
						}
					case <-time.After(3 * time.Second):
					}
					mu.Lock()
					kinds[kind]++
					mu.Unlock()
				})
			}
		})
	}
	return func() string {
		close(ending)
		clients.Wait()
		return fmt.Sprint(kinds)
	}
}
