package simulator

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	drawnEvents  = 10_000 // of one course
	drawnBatches = 4      // events of one batch at most
)

// drawnBench plays the bench: as a reader it draws batches of events, as a writer it takes the replies, so that
// what it draws next fits what was answered. Everything comes from its seed.
type drawnBench struct {
	random   *rand.Rand
	now      int64 // ms
	batch    int
	events   int // left to draw
	requests int
	open     []string    // ids that have no final answer
	attempts [][2]string // id and number of attempts in flight
	started  map[string]int
	timers   []drawnTimer
	replies  []byte // without the lines of the log
}

type drawnTimer struct {
	at    int64
	token string
}

func (b *drawnBench) Read(p []byte) (int, error) {
	if b.events <= 0 {
		return 0, io.EOF
	}
	b.now += b.random.Int64N(60)
	b.batch++
	var out bytes.Buffer
	fmt.Fprintf(&out, "MARK %d.%03d %d\n", b.now/1000, b.now%1000, b.batch)
	if b.batch == 1 {
		out.WriteString("START router-0 5 " + info + "\n")
	}
	b.timers = slices.DeleteFunc(b.timers, func(timer drawnTimer) bool {
		if timer.at > b.now {
			return false
		}
		fmt.Fprintf(&out, "TICK_DUE router-0 %s\n", timer.token)
		return true
	})
	for range 1 + b.random.IntN(drawnBatches) {
		b.events--
		b.draw(&out)
	}
	out.WriteString("FLUSH\n")
	return copy(p, out.Bytes()), nil
}

// draw writes one event.
func (b *drawnBench) draw(out *bytes.Buffer) {
	switch kind := b.random.IntN(100); {
	case kind < 3:
		b.list(out)
	case kind < 40:
		b.requests++
		id := fmt.Sprintf("%x", b.requests)
		b.open = append(b.open, id)
		fmt.Fprintf(out, "SUBMIT router-0 %s %d - %d %d %d.%03d %d obj:%d %s\n", id, b.random.IntN(8), b.random.IntN(90),
			b.random.IntN(3), (b.now+2500)/1000, b.now%1000, b.random.IntN(4), b.random.IntN(40),
			[]string{"stills", "stills", "stills", "unheard"}[b.random.IntN(4)])
	case kind < 85 && len(b.attempts) > 0:
		i := b.random.IntN(len(b.attempts))
		id, number := b.attempts[i][0], b.attempts[i][1]
		b.attempts = slices.Delete(b.attempts, i, i+1)
		word := []string{"GOOD", "GOOD", "GOOD", "GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS"}[b.random.IntN(12)]
		closed := 0
		if word == "GOOD" {
			closed = 1
		}
		fmt.Fprintf(out, "ENDED router-0 %s %s 11 %s 0.%03d %d %d 0.01 %d,-,0.5\n", id, number, word, b.random.IntN(900), closed,
			b.random.IntN(3), b.random.IntN(9))
	case kind < 90 && len(b.open) > 0:
		i := b.random.IntN(len(b.open))
		fmt.Fprintf(out, "GONE router-0 %s\n", b.open[i])
		b.open = slices.Delete(b.open, i, i+1)
	case kind < 93 && len(b.attempts) > 0:
		attempt := b.attempts[b.random.IntN(len(b.attempts))]
		fmt.Fprintf(out, "ESTABLISHED router-0 %s 0 %s 0.01\n", attempt[0], attempt[1])
	case kind < 95:
		fmt.Fprintf(out, "RECALLED router-0 %s %d 0.%d\n", []string{"0", "-", "obj:7"}[b.random.IntN(3)], b.random.IntN(4), b.random.IntN(9))
	case kind < 97:
		fmt.Fprintf(out, "ECHO router-0 0 %s %d 1,0.5\n", []string{"GOOD", "LATE"}[b.random.IntN(2)], 11+b.random.IntN(4))
	case kind < 98:
		out.WriteString("FLEET router-0 failed 0 0\n")
	case kind < 99:
		out.WriteString("MEMO router-0 2 68\n")
	default:
		fmt.Fprintf(out, "GONE router-0 unknown\n")
	}
}

// list writes an endpoint list, complete or of changes.
func (b *drawnBench) list(out *bytes.Buffer) {
	count := 1 + b.random.IntN(6)
	fmt.Fprintf(out, "FLEET router-0 %s 1 %d\n", []string{"cached", "delta"}[b.random.IntN(2)], count)
	for i := range count {
		kind, location := "box", "edge-1"
		if i == 1 {
			kind, location = "parent", "central"
		}
		fmt.Fprintf(out, "ITEM %d %s %s %d %s %d %d\n", 11+i, location, kind, b.random.IntN(3),
			[]string{"ready", "ready", "ready", "draining", "gone"}[b.random.IntN(5)], 1+b.random.IntN(9), b.random.IntN(int(b.now/1000)+1))
	}
}

func (b *drawnBench) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		words := strings.Fields(line)
		if words[0] == "PRINT" {
			continue // the log
		}
		b.replies = append(b.replies, line...)
		switch words[0] {
		case "TRANSMIT", "PULL_VIA":
			id := words[2]
			b.attempts = append(b.attempts, [2]string{id, fmt.Sprint(b.started[id])})
			b.started[id]++
		case "SAY_NO", "FAIL":
			b.open = slices.DeleteFunc(b.open, func(open string) bool { return open == words[2] })
		case "WAKE_ME":
			seconds, err := strconv.ParseFloat(words[2], 64)
			if err != nil {
				return 0, err
			}
			b.timers = append(b.timers, drawnTimer{at: b.now + int64(seconds*1000), token: words[3]})
		}
	}
	return len(p), nil
}

// The replies to drawn courses of events are those recorded: what the adapter does stays as it is while its
// code is changed.
func TestRepliesToDrawnEventsAreAsRecorded(t *testing.T) {
	for _, c := range []struct {
		seed    uint64
		lines   int
		replies uint64
	}{{1, 13794, 0xfdf2974a5bb2a2df}, {2, 14051, 0x17851c650f8e9959}, {3, 13725, 0x79a2efb540088b70}} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			bench := &drawnBench{random: rand.New(rand.NewPCG(c.seed, 0)), events: drawnEvents, now: 8000, started: map[string]int{}}
			if err := Run(bench, bench); err != nil {
				t.Fatal(err)
			}
			digest := fnv.New64a()
			digest.Write(bench.replies)
			lines := bytes.Count(bench.replies, []byte("\n"))
			if lines != c.lines || digest.Sum64() != c.replies {
				t.Errorf("%d lines of digest %#x, want %d of %#x", lines, digest.Sum64(), c.lines, c.replies)
			}
		})
	}
}
