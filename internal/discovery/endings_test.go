package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
)

// What is asked for counts as told at once. An answer that is cut off, or stands still inside an event, is asked for again
// within the grace: the next call came up to seconds later, and meanwhile requests went to a cache that drained.
func TestCutAnswerIsAskedForAgainWithinTheGrace(t *testing.T) {
	const grace = 250 * time.Millisecond
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	const event = "id: 5\ndata: {\"pos\":5,\"expire\":{\"set\":1,\"stamp\":1}}\n\n"
	for _, c := range []struct {
		name, answer string
		ends         bool // the service closes; else it stays open and silent
	}{
		{"inside a line, and closed", head + event[:20], true},
		{"inside a line, and open", head + event[:20], false},
		{"between the lines of an event, and open", head + event[:6], false},
		{"before anything whole, and closed", head, true},
		{"before its head, and closed", "", true},
		{"behind a comment, and closed", head + ": here\n\n" + event[:20], true},
		{"whole, and not to be understood", head + "id: 5\ndata: {\"pos\":5,\"exp\n\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			asked := make(chan time.Time, 16)
			go func() {
				for n := 0; ; n++ {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					in := bufio.NewReader(conn)
					for line := "x"; strings.TrimSpace(line) != "" && err == nil; {
						line, err = in.ReadString('\n')
					}
					asked <- time.Now()
					if n == 0 {
						fmt.Fprint(conn, c.answer)
						if c.ends {
							conn.Close()
						}
						continue
					}
					fmt.Fprint(conn, head+event)
				}
			}()
			calls := startup.NewCallSchedule(1, 300, startup.ReadinessHold{})
			calls.SetDrainGrace(int64(grace))
			calls.ListReceived()
			told := make(chan router.Event, 16)
			f := NewWatcher(Config{Address: listener.Addr().String(), History: History{Position: 4}, Schedule: calls, Post: noting(told), Log: func(string) {}})
			ctx, cancel := context.WithCancel(context.Background())
			over := make(chan error, 1)
			go func() { over <- f.Run(ctx) }()
			first, second := <-asked, <-asked
			if took := second.Sub(first); took >= grace {
				t.Errorf("asked again after %v", took)
			}
			select {
			case <-told:
			case <-time.After(10 * time.Second):
				t.Error("never told")
			}
			cancel()
			if err := <-over; err != nil {
				t.Error(err)
			}
		})
	}
}
