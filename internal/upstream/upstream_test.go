package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/emulator/cache"
	"tealpath/internal/protocol/resp"
	"tealpath/internal/router"
)

func TestFetch(t *testing.T) {
	base := router.UpstreamRequest{
		ID: "9b1f03aa5c7e2d41", Class: "stills", Object: "7f3a9c21e0b4d655", Part: "03",
		Body: []byte("x\r\ny"),
	}
	for _, c := range []struct {
		name   string
		change func(*router.UpstreamRequest)
		want   string
	}{
		{"no fill", func(q *router.UpstreamRequest) { q.Attempt.CachePriority = 2 }, ""},
		{"a fill", func(q *router.UpstreamRequest) { q.Source = "p-a" }, ",miss=p-a"},
		{"all", func(q *router.UpstreamRequest) {
			q.Source, q.ClientETag = "p-a", "4be0c1927d55a6f3"
			q.Attempt = control.Attempt{CachePriority: 2, MaxAge: 1500e6, JoinFill: true, ParentOnlyIfCached: true, ParentNoStore: true, RefreshBehind: true}
		}, ",miss=p-a,prio=2,within=1500,f=ride+have-only+through+update,mine=4be0c1927d55a6f3"},
		{
			"an idempotency key", func(q *router.UpstreamRequest) { q.IdempotencyKey = "6ad8595c69c03e9f5892348d52ee1791" },
			",uniq=6ad8595c69c03e9f5892348d52ee1791",
		},
		{
			"an age under a millisecond is not left out, which would mean the fresh time",
			func(q *router.UpstreamRequest) { q.Source, q.Attempt.MaxAge = "p-a", 1000 }, ",miss=p-a,within=1",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := base
			c.change(&q)
			words, err := resp.Read(bufio.NewReader(strings.NewReader(string(encodeFetch(q, 1500999999)))))
			want := "fetch 9b1f03aa5c7e2d41 queue=stills,path=7f3a9c21e0b4d655,blk=03,budget=1500" + c.want + " x\r\ny"
			if got := fmt.Sprintf("%s %s %s %s", words[0], words[1], words[2], words[3]); err != nil || got != want {
				t.Errorf("%s, %v\nwant %s", got, err, want)
			}
		})
	}
}

func TestParse(t *testing.T) {
	const proof, issued = "entity=4be0c1927d55a6f3,issued=1764576000123", int64(1764576000123e6)
	for _, c := range []struct {
		name, in string // words parted by |
		want     router.ResponseReceived
		ok       bool
	}{
		{
			"served", "i|served|" + proof + ",detail=TCP_MISS,delay=12.5,use=inflight:7;x0:0.61|bytes",
			router.ResponseReceived{
				ID: "i", Result: control.Succeeded, IssuedAt: issued, Body: []byte("bytes"), Note: 2, TimeToFirstByte: 125e5,
				LoadReport: []float64{7, 0, 0.61},
			},
			true,
		},
		{"a report in the wire's words", "i|crashed|use=outstanding:11.128;x1:0.736|", router.ResponseReceived{
			ID:     "i",
			Result: control.ServerError, LoadReport: []float64{11.128, 0.736, 0},
		}, true},
		{"the copy holds", "i|still_good|" + proof + ",detail=TCP_HIT|", router.ResponseReceived{
			ID: "i", Result: control.Succeeded,
			IssuedAt: issued, NotModified: true, Body: []byte{}, Note: 1,
		}, true},
		{"a miss", "i|not_here|detail=PEER_MISS|", router.ResponseReceived{ID: "i", Result: control.NotHeld, Note: 8}, true},
		{"full", "i|overload|-|", router.ResponseReceived{ID: "i", Result: control.Overloaded}, true},
		{"an error", "i|crashed|-|", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"over already", "i|nobody|-|", router.ResponseReceived{ID: "i", Result: control.NotSent}, true},
		{
			"odd notes and reports say nothing", "i|served|" + proof + ",detail=ODD,delay=long,use=??|b",
			router.ResponseReceived{ID: "i", Result: control.Succeeded, IssuedAt: issued, Body: []byte("b"), LoadReport: []float64{0, 0, 0}},
			true,
		},
		{"no age", "i|served|entity=4be0c1927d55a6f3|b", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"an odd age", "i|served|entity=4be0c1927d55a6f3,issued=soon|b", router.ResponseReceived{
			ID:     "i",
			Result: control.ServerError,
		}, true},
		{"an age of 0", "i|served|entity=4be0c1927d55a6f3,issued=0|b", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"a negative age", "i|served|entity=4be0c1927d55a6f3,issued=-1|b", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"an age of the far future", "i|served|entity=4be0c1927d55a6f3,issued=9223372036854775807|b", router.ResponseReceived{
			ID:     "i",
			Result: control.Succeeded, IssuedAt: math.MaxInt64, Body: []byte("b"),
		}, true},
		{"an age beyond all numbers", "i|served|entity=4be0c1927d55a6f3,issued=9223372036854775808|b", router.ResponseReceived{
			ID:     "i",
			Result: control.ServerError,
		}, true},
		{"no tag", "i|served|issued=1764576000123|b", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"neither: it is for who knows the product to say", "i|served|detail=TCP_MISS_ROOT|done", router.ResponseReceived{
			ID:     "i",
			Result: control.ServerError, Unversioned: true, Body: []byte("done"), Note: 3,
		}, true},
		{"neither, of a copy that is to hold", "i|still_good|detail=TCP_HIT|", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"an unknown word", "i|maybe|" + proof + "|b", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"words missing", "i|served", router.ResponseReceived{ID: "i", Result: control.ServerError}, true},
		{"a sign of life", "t|green|-|", router.ResponseReceived{ID: "t", Result: control.ServerError}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var words [][]byte
			for _, w := range strings.Split(c.in, "|") {
				words = append(words, []byte(w))
			}
			got, ok := decodeResponse(words, []string{"inHand", "x1", "x0"})
			if ok != c.ok || !reflect.DeepEqual(got, c.want) {
				t.Errorf("%+v, %v\nwant %+v", got, ok, c.want)
			}
		})
	}
	if _, ok := decodeResponse(nil, nil); ok {
		t.Error("no words are no answer")
	}
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Links against a stand-in of a cache that does one thing with its first connection.
func TestLink(t *testing.T) {
	written, closing := make(chan struct{}), make(chan struct{})
	request := sending("00000000000000aa", 10*time.Second)
	for _, c := range []struct {
		name  string
		cache func(net.Conn) // nil refuses
		do    func(*Pool)
		want  string
	}{
		{"refused", nil, nil, "down []"},
		{"an answer", func(c net.Conn) {
			resp.Read(bufio.NewReader(c))
			fmt.Fprintf(c, "*4\r\n$16\r\n00000000000000aa\r\n$8\r\nnot_here\r\n$1\r\n-\r\n$0\r\n\r\n")
		}, nil, "up, answered 2, down []"},
		{"malformed", func(c net.Conn) {
			resp.Read(bufio.NewReader(c))
			fmt.Fprint(c, "-ERR\r\n")
			time.Sleep(time.Second)
		}, nil, "up, down []"},
		{"half an answer is none", func(c net.Conn) {
			resp.Read(bufio.NewReader(c))
			fmt.Fprintf(c, "*4\r\n$16\r\n00000000000000aa\r\n$6\r\nserved\r\n$1\r\n-\r\n$9\r\nhal")
		}, nil, "up, down []"},
		{"an answer that stops short ends the link soon, with what else is open on it", func(c net.Conn) {
			resp.Read(bufio.NewReader(c))
			fmt.Fprintf(c, "*4\r\n$16\r\n00000000000000aa\r\n$6\r\nserved\r\n$1\r\n-\r\n$9\r\nhal")
			time.Sleep(4 * time.Second)
		}, nil, "up, down []"},
		{"an answer in small pieces is whole", func(c net.Conn) {
			resp.Read(bufio.NewReader(c))
			for _, piece := range strings.SplitAfter("*4\r\n$16\r\n00000000000000aa\r\n$8\r\nnot_here\r\n$1\r\n-\r\n$0\r\n\r\n", "\n") {
				fmt.Fprint(c, piece)
				time.Sleep(stallMost / 6)
			}
		}, nil, "up, answered 2, down []"},
		{"what follows an answer may take its time", func(c net.Conn) {
			in := bufio.NewReader(c)
			resp.Read(in)
			fmt.Fprint(c, "*4\r\n$1\r\nx\r\n$5\r\ngreen\r\n$1\r\n-\r\n$0\r\n\r\n")
			time.Sleep(stallMost + stallMost/2)
			fmt.Fprint(c, "*4\r\n$16\r\n00000000000000aa\r\n$8\r\nnot_here\r\n$1\r\n-\r\n$0\r\n\r\n")
		}, nil, "up, answered 2, down []"},
		{"an answer that claims 3 GB", func(c net.Conn) {
			resp.Read(bufio.NewReader(c))
			fmt.Fprint(c, "*4\r\n$16\r\n00000000000000aa\r\n$6\r\nserved\r\n$1\r\n-\r\n$3221225472\r\n")
			io.Copy(c, endless{})
		}, nil, "up, down []"},
		{"closed from this side", func(c net.Conn) {
			resp.Read(bufio.NewReader(c))
			close(closing)
			time.Sleep(time.Second)
		}, func(p *Pool) {
			<-closing
			p.Close(router.Close{Connection: 1})
		}, "up, down []"},
		{"given up after it was written", func(c net.Conn) {
			in := bufio.NewReader(c)
			first, _ := resp.Read(in)
			close(written)
			second, _ := resp.Read(in)
			fmt.Fprintf(c, "*4\r\n$1\r\n%.1s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$0\r\n\r\n", first[0], len(second[0]), second[0])
		}, func(p *Pool) {
			<-written
			p.CancelAttempt(router.CancelAttempt{Connection: 1, ID: request.Request.ID})
		}, "up, answered 6, down []"},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			if c.cache == nil {
				listener.Close()
			} else {
				go func() {
					if conn, err := listener.Accept(); err == nil {
						defer conn.Close()
						c.cache(conn)
					}
				}()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			events, begun := make(chan router.Event, 16), time.Now()
			p := NewPool(ctx, Config{Post: func(e router.Event) { events <- e }})
			p.Dial(router.Dial{Connection: 1, Address: listener.Addr().String(), Timeout: int64(time.Second)})
			var got []string
			for over := false; !over; {
				switch e := (<-events).(type) {
				case router.ConnectionUp:
					got = append(got, "up")
					p.Send(request)
					if c.do != nil {
						c.do(p)
					}
				case router.ResponseReceived:
					got = append(got, fmt.Sprint("answered ", int(e.Result)))
				case router.ConnectionDown:
					got, over = append(got, fmt.Sprint("down ", e.Unsent)), true
				}
			}
			p.Wait()
			if got := strings.Join(got, ", "); got != c.want || time.Since(begun) > 3*time.Second {
				t.Errorf("%s after %v, want %s", got, time.Since(begun), c.want)
			}
		})
	}
}

func TestTakeBack(t *testing.T) {
	p := NewPool(context.Background(), Config{Post: func(router.Event) {}})
	l := &link{pool: p, id: 1, wake: make(chan struct{}, 1)}
	p.links[1] = l
	for _, id := range []string{"a", "b"} {
		p.Send(router.Send{Connection: 1, Request: router.UpstreamRequest{ID: id}})
	}
	p.CancelAttempt(router.CancelAttempt{Connection: 1, ID: "a"})
	if got := l.unsent(); len(l.queue) != 1 || !reflect.DeepEqual(got, []string{"b"}) {
		t.Errorf("%d queued, unsent %v", len(l.queue), got)
	}
}

// A probe that may no longer be sent once its connection stands is not written.
func TestAlive(t *testing.T) {
	c, err := cache.Start("s-a", "")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := CheckHealth(ctx, HealthCheck{Address: c.Address(), ID: "00000000000000ff", LoadReportFields: nil, MayWrite: func() bool { return false }}); !errors.Is(err, ErrNotSent) {
		t.Errorf("%v", err)
	}
	load, err := CheckHealth(ctx, HealthCheck{Address: c.Address(), ID: "00000000000000ff", LoadReportFields: []string{"x0", "inHand"}, MayWrite: func() bool { return true }})
	if err != nil || len(load) != 2 || load[0] != 0.5 {
		t.Errorf("%v %v", load, err)
	}
	if got := c.HealthChecks(); len(got) != 1 || got[0].ID != "00000000000000ff" {
		t.Errorf("%v", got)
	}
	c.SetUnresponsive(true)
	short, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if _, err := CheckHealth(short, HealthCheck{Address: c.Address(), ID: "1", LoadReportFields: nil, MayWrite: func() bool { return true }}); err == nil {
		t.Error("a silent member is taken for alive")
	}
}
