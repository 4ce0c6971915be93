package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Thrift: the client's side of the strict binary protocol in frames.

func thriftString(out []byte, text string) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(text)))
	return append(out, text...)
}

// encodeCall returns the frame of a call of the method `call`.
func encodeCall(seq int32, fields [][2]string, body []byte) []byte {
	message := binary.BigEndian.AppendUint32(nil, 0x80010001)
	message = thriftString(message, "call")
	message = binary.BigEndian.AppendUint32(message, uint32(seq))
	message = append(message, 13, 0, 1, 11, 11)
	message = binary.BigEndian.AppendUint32(message, uint32(len(fields)))
	for _, field := range fields {
		message = thriftString(thriftString(message, field[0]), field[1])
	}
	message = append(message, 11, 0, 2)
	message = binary.BigEndian.AppendUint32(message, uint32(len(body)))
	message = append(message, body...)
	message = append(message, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// encodeHealth returns the frame of a call of the method `health`.
func encodeHealth(seq int32) []byte {
	message := binary.BigEndian.AppendUint32(nil, 0x80010001)
	message = thriftString(message, "health")
	message = binary.BigEndian.AppendUint32(message, uint32(seq))
	message = append(message, 2, 0, 1, 1, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...)
}

// answer is what a router has answered to one call.
type answer struct {
	seq    int32
	kind   string // "served", "refused", "failed" or "exception"
	good   bool
	fields map[string]string
	body   []byte
	text   string
}

type cursor struct {
	in  []byte
	bad bool
}

func (c *cursor) take(n int) []byte {
	if n < 0 || n > len(c.in) {
		c.bad, c.in = true, nil
		return make([]byte, max(0, min(n, 8)))
	}
	taken := c.in[:n]
	c.in = c.in[n:]
	return taken
}
func (c *cursor) u8() byte      { return c.take(1)[0] }
func (c *cursor) u16() int      { return int(binary.BigEndian.Uint16(c.take(2))) }
func (c *cursor) u32() int      { return int(int32(binary.BigEndian.Uint32(c.take(4)))) }
func (c *cursor) text() string  { return string(c.take(c.u32())) }
func (c *cursor) bytes() []byte { return c.take(c.u32()) }
func (c *cursor) stringMap() map[string]string {
	c.take(2)
	entries := map[string]string{}
	for n := c.u32(); n > 0 && !c.bad; n-- {
		key := c.text()
		entries[key] = c.text()
	}
	return entries
}

// structure reads a Thrift struct of the kinds that a router's answers have.
func (c *cursor) structure(into *answer, depth int) {
	for !c.bad {
		kind := c.u8()
		if kind == 0 {
			return
		}
		id := c.u16()
		switch kind {
		case 2:
			good := c.u8() == 1
			if id == 3 {
				into.good = good
			}
		case 8:
			c.u32()
		case 11:
			raw := c.bytes()
			if depth > 0 && id == 1 {
				into.body = raw
			} else {
				into.text = string(raw)
			}
		case 13:
			into.fields = c.stringMap()
		case 12:
			if depth == 0 {
				into.kind = map[int]string{0: "served", 1: "refused", 2: "failed"}[id]
			}
			c.structure(into, depth+1)
		default:
			c.bad = true
		}
	}
}

var errUnreadable = errors.New("answer can't be read")

// readAnswer reads the next answer of a router.
func readAnswer(in *bufio.Reader) (answer, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return answer{}, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > 1<<20 {
		return answer{}, errUnreadable
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(in, frame); err != nil {
		return answer{}, err
	}
	c := &cursor{in: frame}
	word := c.u32()
	c.text()
	result := answer{seq: int32(c.u32())}
	if word&0xff == 3 {
		result.kind = "exception"
	}
	if result.kind == "exception" {
		c.structure(&result, 1)
		result.text = string(result.body)
		result.body = nil
	} else {
		c.structure(&result, 0)
	}
	if c.bad {
		return result, errUnreadable
	}
	return result, nil
}

// RESP: the cache server's side.

func readCommand(in *bufio.Reader) ([][]byte, error) {
	count, err := readLength(in, '*')
	if err != nil || count > 8 {
		return nil, errors.Join(err, errUnreadable)
	}
	words := make([][]byte, count)
	for i := range words {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		raw := make([]byte, size+2)
		if _, err := io.ReadFull(in, raw); err != nil {
			return nil, err
		}
		words[i] = raw[:size]
	}
	return words, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%w: %q", errUnreadable, line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

func encodeWords(words ...[]byte) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		out = fmt.Appendf(out, "$%d\r\n", len(word))
		out = append(append(out, word...), "\r\n"...)
	}
	return out
}

// fetch is one request that a cache server has received whole.
type fetch struct {
	at     time.Time
	id     string
	fields map[string]string
	body   []byte
	conn   *cacheConn
}

func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		if name, value, ok := strings.Cut(part, "="); ok {
			fields[name] = value
		}
	}
	return fields
}

type cacheConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *cacheConn) answer(id, word, fields string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(encodeWords([]byte(id), []byte(word), []byte(fields), body))
}

// cache is a cache server, a parent or the origin.
type cache struct {
	name     string
	listener net.Listener
	mu       sync.Mutex
	conns    map[*cacheConn]bool
	onFetch  func(fetch)          // decides on the answer
	onOther  func(words [][]byte) // abort and alive; alive is answered before
	onAlive  func(at time.Time, tag string)
}

func startCache(name string, onFetch func(fetch)) *cache {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	c := &cache{name: name, listener: listener, conns: map[*cacheConn]bool{}, onFetch: onFetch}
	go c.accept()
	return c
}

func (c *cache) address() string { return c.listener.Addr().String() }

func (c *cache) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		wrapped := &cacheConn{Conn: conn}
		c.mu.Lock()
		c.conns[wrapped] = true
		c.mu.Unlock()
		go c.serve(wrapped)
	}
}

func (c *cache) serve(conn *cacheConn) {
	defer func() {
		_ = conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		words, err := readCommand(in)
		if err != nil || len(words) < 2 {
			return
		}
		switch string(words[0]) {
		case "fetch":
			if len(words) == 4 {
				c.onFetch(fetch{time.Now(), string(words[1]), parseFields(string(words[2])), words[3], conn})
			}
		case "alive":
			if c.onAlive != nil {
				c.onAlive(time.Now(), string(words[1]))
			}
			conn.mu.Lock()
			_, _ = conn.Write(encodeWords(words[1], []byte("green")))
			conn.mu.Unlock()
		default:
			if c.onOther != nil {
				c.onOther(words)
			}
		}
	}
}

// journal is the journal service: numbered events, sent as server-sent events.
type journal struct {
	listener net.Listener
	mu       sync.Mutex
	events   []string
	changed  chan struct{}
	conns    map[net.Conn]bool
	shared   *journal // the events of another one, which this one tells on
	retired  bool
	calls    []time.Time
}

func startJournal() *journal {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	j := &journal{listener: listener, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go j.accept(listener)
	return j
}

func (j *journal) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		j.mu.Lock()
		j.conns[conn] = true
		j.mu.Unlock()
		go j.serve(conn)
	}
}

// listenAgain opens a service that was ended at the same address.
func (j *journal) listenAgain() {
	listener, err := net.Listen("tcp", j.address())
	if err != nil {
		cannotRun("listen again: %v", err)
	}
	j.listener = listener
	go j.accept(listener)
}

func (j *journal) address() string { return j.listener.Addr().String() }

// publish adds an event; its text has %d for the number.
func (j *journal) publish(text string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, fmt.Sprintf(text, len(j.events)+1))
	close(j.changed)
	j.changed = make(chan struct{})
	return len(j.events)
}

func (j *journal) known() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(j.events), strings.Join(j.events, ","))
}

// end closes the listener and, after a pause, the open watches.
func (j *journal) end(pause time.Duration) {
	_ = j.listener.Close()
	time.AfterFunc(pause, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		for conn := range j.conns {
			_ = conn.Close()
		}
	})
}

// retire has the service accept and tell nothing more; it closes the open watches after a pause. Its events remain.
func (j *journal) retire(pause time.Duration) {
	j.mu.Lock()
	j.retired = true
	j.mu.Unlock()
	j.end(pause)
}

func (j *journal) isRetired() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.retired
}

func (j *journal) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	last := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Last-Event-ID") {
			last, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	j.mu.Lock()
	j.calls = append(j.calls, time.Now())
	j.mu.Unlock()
	source := j
	if j.shared != nil {
		source = j.shared
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"); err != nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for first := true; ; first = false {
		source.mu.Lock()
		pending, changed := source.events[min(last, len(source.events)):], source.changed
		source.mu.Unlock()
		if j.isRetired() {
			_, _ = io.Copy(io.Discard, conn) // until it is closed
			return
		}
		for _, event := range pending {
			last++
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", last, event); err != nil {
				return
			}
		}
		if first {
			if _, err := io.WriteString(conn, ": alive\n\n"); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-tick.C:
			if _, err := io.WriteString(conn, ": alive\n\n"); err != nil {
				return
			}
		}
	}
}

// served answers a fetch with a copy that the origin gave out just now.
func served(f fetch, body []byte) {
	f.conn.answer(f.id, "served", fmt.Sprintf(
		"entity=4be0c1927d55a6f3,issued=%d,detail=TCP_HIT,use=inflight:1;x1:0.1;x0:0.5", stamp(time.Now())), body)
}
