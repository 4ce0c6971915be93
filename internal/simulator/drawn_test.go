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
	eventsPerRun      = 10_000
	maxEventsPerBatch = 4
)

// randomSimulator takes the place of the operators' simulator. As an io.Reader it returns batches of random events,
// as an io.Writer it takes the replies, so that later events refer to requests and attempts that exist. The events
// depend only on its seed and the replies.
type randomSimulator struct {
	random     *rand.Rand
	now        int64 // simulated time in ms
	batch      int
	eventsLeft int
	requests   int
	unfinished []string       // IDs of requests without a final response
	attempts   [][2]string    // request ID and attempt number of each attempt in flight
	started    map[string]int // number of attempts started so far, by request ID
	timers     []pendingTimer
	replies    []byte // all replies so far, without log lines
}

type pendingTimer struct {
	at    int64 // when the timer fires, in ms of simulated time
	token string
}

// Read returns the next batch. A batch fits the buffer of wire.Reader.
func (s *randomSimulator) Read(p []byte) (int, error) {
	if s.eventsLeft <= 0 {
		return 0, io.EOF
	}
	s.now += s.random.Int64N(60)
	s.batch++
	var out bytes.Buffer
	fmt.Fprintf(&out, "MARK %d.%03d %d\n", s.now/1000, s.now%1000, s.batch)
	if s.batch == 1 {
		out.WriteString("START router-0 5 " + routerSettings + "\n")
	}
	s.timers = slices.DeleteFunc(s.timers, func(timer pendingTimer) bool {
		if timer.at > s.now {
			return false
		}
		fmt.Fprintf(&out, "TICK_DUE router-0 %s\n", timer.token)
		return true
	})
	for range 1 + s.random.IntN(maxEventsPerBatch) {
		s.eventsLeft--
		s.writeRandomEvent(&out)
	}
	out.WriteString("FLUSH\n")
	return copy(p, out.Bytes()), nil
}

func (s *randomSimulator) writeRandomEvent(out *bytes.Buffer) {
	switch kind := s.random.IntN(100); {
	case kind < 3:
		s.writeRandomEndpointList(out)
	case kind < 40:
		s.requests++
		id := fmt.Sprintf("%x", s.requests)
		s.unfinished = append(s.unfinished, id)
		fmt.Fprintf(out, "SUBMIT router-0 %s %d - %d %d %d.%03d %d obj:%d %s\n",
			id, s.random.IntN(8), s.random.IntN(90),
			s.random.IntN(3), (s.now+2500)/1000, s.now%1000, s.random.IntN(4), s.random.IntN(40),
			[]string{"stills", "stills", "stills", "unheard"}[s.random.IntN(4)])
	case kind < 85 && len(s.attempts) > 0:
		i := s.random.IntN(len(s.attempts))
		id, number := s.attempts[i][0], s.attempts[i][1]
		s.attempts = slices.Delete(s.attempts, i, i+1)
		result := []string{
			"GOOD", "GOOD", "GOOD", "GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP", "MISS",
		}[s.random.IntN(12)]
		requestEnded := 0
		if result == "GOOD" {
			requestEnded = 1
		}
		fmt.Fprintf(out, "ENDED router-0 %s %s 11 %s 0.%03d %d %d 0.01 %d,-,0.5\n",
			id, number, result, s.random.IntN(900), requestEnded, s.random.IntN(3), s.random.IntN(9))
	case kind < 90 && len(s.unfinished) > 0:
		i := s.random.IntN(len(s.unfinished))
		fmt.Fprintf(out, "GONE router-0 %s\n", s.unfinished[i])
		s.unfinished = slices.Delete(s.unfinished, i, i+1)
	case kind < 93 && len(s.attempts) > 0:
		attempt := s.attempts[s.random.IntN(len(s.attempts))]
		fmt.Fprintf(out, "ESTABLISHED router-0 %s 0 %s 0.01\n", attempt[0], attempt[1])
	case kind < 95:
		fmt.Fprintf(out, "RECALLED router-0 %s %d 0.%d\n",
			[]string{"0", "-", "obj:7"}[s.random.IntN(3)], s.random.IntN(4), s.random.IntN(9))
	case kind < 97:
		fmt.Fprintf(out, "ECHO router-0 0 %s %d 1,0.5\n",
			[]string{"GOOD", "LATE"}[s.random.IntN(2)], 11+s.random.IntN(4))
	case kind < 98:
		out.WriteString("FLEET router-0 failed 0 0\n")
	case kind < 99:
		out.WriteString("MEMO router-0 2 68\n")
	default:
		fmt.Fprintf(out, "GONE router-0 unknown\n")
	}
}

// writeRandomEndpointList writes a complete endpoint list or changes to it.
func (s *randomSimulator) writeRandomEndpointList(out *bytes.Buffer) {
	count := 1 + s.random.IntN(6)
	fmt.Fprintf(out, "FLEET router-0 %s 1 %d\n", []string{"cached", "delta"}[s.random.IntN(2)], count)
	for i := range count {
		kind, location := "box", "edge-1"
		if i == 1 {
			kind, location = "parent", "central"
		}
		fmt.Fprintf(out, "ITEM %d %s %s %d %s %d %d\n", 11+i, location, kind, s.random.IntN(3),
			[]string{"ready", "ready", "ready", "draining", "gone"}[s.random.IntN(5)],
			1+s.random.IntN(9), s.random.IntN(int(s.now/1000)+1))
	}
}

// Write takes the reply to a batch and records its attempts, final responses and timers.
func (s *randomSimulator) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		words := strings.Fields(line)
		if words[0] == "PRINT" {
			continue // a log line
		}
		s.replies = append(s.replies, line...)
		switch words[0] {
		case "TRANSMIT", "PULL_VIA":
			id := words[2]
			s.attempts = append(s.attempts, [2]string{id, fmt.Sprint(s.started[id])})
			s.started[id]++
		case "SAY_NO", "FAIL":
			s.unfinished = slices.DeleteFunc(s.unfinished, func(id string) bool { return id == words[2] })
		case "WAKE_ME":
			seconds, err := strconv.ParseFloat(words[2], 64)
			if err != nil {
				return 0, err
			}
			s.timers = append(s.timers, pendingTimer{at: s.now + int64(seconds*1000), token: words[3]})
		}
	}
	return len(p), nil
}

// The replies to random events equal the recorded ones. This detects unintended changes of the decisions and of the
// commands that are sent for them.
func TestRepliesToRandomEventsAreAsRecorded(t *testing.T) {
	for _, c := range []struct {
		seed   uint64
		lines  int
		digest uint64 // 64-bit FNV-1a hash of the replies
	}{{1, 13794, 0xfdf2974a5bb2a2df}, {2, 14051, 0x17851c650f8e9959}, {3, 13725, 0x79a2efb540088b70}} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			simulator := &randomSimulator{
				random:     rand.New(rand.NewPCG(c.seed, 0)),
				eventsLeft: eventsPerRun,
				now:        8000,
				started:    map[string]int{},
			}
			if err := Run(simulator, simulator); err != nil {
				t.Fatal(err)
			}
			digest := fnv.New64a()
			digest.Write(simulator.replies)
			lines := bytes.Count(simulator.replies, []byte("\n"))
			if lines != c.lines || digest.Sum64() != c.digest {
				t.Errorf("seed %d: %d lines with digest %#x in the replies, want %d lines with digest %#x",
					c.seed, lines, digest.Sum64(), c.lines, c.digest)
			}
		})
	}
}
