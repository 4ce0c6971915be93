package main

import (
	"regexp"
	"strconv"
	"testing"
	"time"
)

var budgetField = regexp.MustCompile(`\bbudget=(\d+)\b`)

// A client's time runs from the first byte of its request: the cache is told of no more than is left of it.
func TestBudgetIsWhatIsLeft(t *testing.T) {
	const limit, apart, slack = 1200 * time.Millisecond, 500 * time.Millisecond, 150 * time.Millisecond
	caches := []*stand{newStand(t, "s-a"), newStand(t, "s-b")}
	journal, _ := newJournal(t)
	p := newProgram(t, caches, journal, 3)
	over := p.run(t)
	for _, c := range []struct {
		name  string
		quiet time.Duration // before the request, on a connection that has been answered
	}{{"on a new connection", 0}, {"on one that was used", 100 * time.Millisecond}, {"on one that rests", 1500 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			client := dial(t, p.address)
			if c.quiet > 0 {
				client.want(client.call(object(1), 1200), settled)
				<-asked(caches)
				time.Sleep(c.quiet)
			}
			frame, sent := frameOf(client, object(2)), time.Now()
			client.conn.Write(frame[:9])
			time.Sleep(apart)
			client.conn.Write(frame[9:])
			select {
			case fields := <-asked(caches):
				left := limit - time.Since(sent)
				found := budgetField.FindStringSubmatch(fields)
				if found == nil {
					t.Fatalf("no budget in %s", fields)
				}
				ms, _ := strconv.Atoi(found[1])
				if told := time.Duration(ms) * time.Millisecond; told > left+slack || told < left-slack {
					t.Errorf("told of %v, with %v left", told, left)
				}
			case <-time.After(patience):
				t.Fatal("not asked")
			}
			client.want(client.seq, settled)
		})
	}
	terminate()
	ends(t, over, 1500*time.Millisecond)
}

// asked gives what either cache is asked next.
func asked(caches []*stand) <-chan string {
	one := make(chan string, 1)
	go func() {
		select {
		case fields := <-caches[0].asked:
			one <- fields
		case fields := <-caches[1].asked:
			one <- fields
		}
	}()
	return one
}
