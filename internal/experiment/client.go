package experiment

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// call is a framed Thrift call of the clients' protocol.
func call(method string, seq uint32, args []byte) []byte {
	m := binary.BigEndian.AppendUint32([]byte{0x80, 1, 0, 1}, uint32(len(method)))
	m = append(binary.BigEndian.AppendUint32(append(m, method...), seq), args...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(m))), m...)
}

// retrieval is a call for an object, given up after a second.
func retrieval(seq uint32, id uint64, object int) []byte {
	text := func(out []byte, s string) []byte {
		return append(binary.BigEndian.AppendUint32(out, uint32(len(s))), s...)
	}
	fields := []string{"verb", "stills", "txn", fmt.Sprintf("%016x", id), "limit", "1000", "item", fmt.Sprintf("%016x", object),
		"nth", "0", "batch", "17"}
	args := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(fields)/2))
	for _, f := range fields {
		args = text(args, f)
	}
	return call("call", seq, append(text(append(args, 11, 0, 2), "body"), 0))
}

// answerSeq reads a framed answer and gives its sequence number, and whether it settles a call.
func answerSeq(in *bufio.Reader) (seq uint32, settled bool, err error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, false, err
	}
	frame := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(in, frame); err != nil {
		return 0, false, err
	}
	if len(frame) < 8 {
		return 0, false, io.ErrUnexpectedEOF
	}
	n := int(binary.BigEndian.Uint32(frame[4:]))
	if len(frame) < 12+n+3 {
		return 0, false, io.ErrUnexpectedEOF
	}
	return binary.BigEndian.Uint32(frame[8+n:]), frame[3] == 2 && frame[14+n] == 0, nil
}

// Load is active traffic: so many retrievals a second over all addresses, each sent when it is due whether or not
// earlier ones were answered, and timed from then (so coordinated omission does not show as speed).
type Load struct {
	Rate      float64
	Addresses []string
	Each      int // connections to an address
}

// LoadResult is what came of a load.
type LoadResult struct {
	Sent, Settled, Other, Lost int
	Times                      *hdrhistogram.Histogram // of what was answered, µs
}

// MS is a quantile in ms.
func (r LoadResult) MS(quantile float64) float64 {
	return float64(r.Times.ValueAtQuantile(quantile)) / 1000
}

type loadConn struct {
	address string
	conn    net.Conn
	mu      sync.Mutex
	open    map[uint32]time.Time
	seq     uint32
	ended   bool
}

// Run plays the load until the context ends or the span is over, and waits a second and a half for the last answers.
func (l Load) Run(ctx context.Context, span time.Duration) (LoadResult, error) {
	result := LoadResult{Times: hdrhistogram.New(1, 10_000_000, 3)}
	var mu sync.Mutex
	var conns []*loadConn
	var readers sync.WaitGroup
	defer readers.Wait()
	dial := func(c *loadConn) error {
		conn, err := net.DialTimeout("tcp", c.address, 5*time.Second)
		if err != nil {
			return err
		}
		c.conn, c.ended = conn, false
		readers.Go(func() {
			defer conn.Close()
			for in := bufio.NewReader(conn); ; {
				seq, settled, err := answerSeq(in)
				if err != nil {
					c.mu.Lock()
					c.ended = true
					c.mu.Unlock()
					return
				}
				c.mu.Lock()
				due, open := c.open[seq]
				delete(c.open, seq)
				c.mu.Unlock()
				mu.Lock()
				switch {
				case !open:
					result.Other++ // an answer to nothing
				case settled:
					result.Settled++
					result.Times.RecordValue(max(1, time.Since(due).Microseconds()))
				default:
					result.Other++
					result.Times.RecordValue(max(1, time.Since(due).Microseconds()))
				}
				mu.Unlock()
			}
		})
		return nil
	}
	for _, address := range l.Addresses {
		for range l.Each {
			c := &loadConn{address: address, open: map[uint32]time.Time{}}
			if err := dial(c); err != nil {
				return result, err
			}
			conns = append(conns, c)
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	began, gap := time.Now(), time.Duration(float64(time.Second)/l.Rate)
	for due := began; due.Sub(began) < span && ctx.Err() == nil; due = due.Add(gap) {
		time.Sleep(time.Until(due))
		c := conns[rng.IntN(len(conns))]
		c.mu.Lock()
		// As usual clients do: one that asked for nothing for 2 s after it came is closed on, and what was sent on the
		// connection from then on passed for lost.
		if c.ended && len(c.open) == 0 && dial(c) != nil {
			c.mu.Unlock()
			result.Sent++
			result.Other++
			continue
		}
		c.seq++
		seq := c.seq
		c.open[seq] = due
		c.mu.Unlock()
		result.Sent++
		c.conn.SetWriteDeadline(time.Now().Add(time.Second))
		c.conn.Write(retrieval(seq, rng.Uint64(), rng.IntN(200)))
	}
	const last = 1500 * time.Millisecond
	time.Sleep(last)
	for _, c := range conns {
		c.mu.Lock()
		result.Lost += len(c.open)
		c.mu.Unlock()
		c.conn.Close()
	}
	readers.Wait()
	return result, nil
}
