package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// client is one connection of a client to a router.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	seq  int32
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, in: bufio.NewReader(conn)}, nil
}

// newID returns 16 random hexadecimal digits.
func newID() string {
	var raw [8]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func appendText(out []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

// frame returns a whole Thrift message with its length.
func frame(kind byte, method string, seq int32, arguments []byte) []byte {
	message := appendText([]byte{0x80, 1, 0, kind}, method)
	message = binary.BigEndian.AppendUint32(message, uint32(seq))
	return appendText(nil, string(append(message, arguments...)))
}

// request is what a client asks for.
type request struct {
	class, id, object string
	limit             time.Duration
	body              string
}

// call returns the bytes of a call and its sequence number.
func (c *client) call(asked request) ([]byte, int32) {
	c.seq++
	fields := [][2]string{
		{"verb", asked.class},
		{"txn", asked.id},
		{"limit", strconv.FormatInt(asked.limit.Milliseconds(), 10)},
		{"item", asked.object},
		{"nth", "0"},
		{"batch", "17"},
	}
	arguments := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(fields)))
	for _, pair := range fields {
		arguments = appendText(appendText(arguments, pair[0]), pair[1])
	}
	arguments = append(arguments, 11, 0, 2)
	arguments = append(appendText(arguments, asked.body), 0)
	return frame(1, "call", c.seq, arguments), c.seq
}

// answer is a router's answer to a request.
type answer struct {
	seq  int32
	said string // what it says, in words
	body string // if it was served
}

// answer reads the next answer.
func (c *client) answer() (answer, error) {
	var size [4]byte
	if _, err := io.ReadFull(c.in, size[:]); err != nil {
		return answer{}, err
	}
	message := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(c.in, message); err != nil {
		return answer{}, err
	}
	kind := message[3]
	nameSize := binary.BigEndian.Uint32(message[4:])
	rest := message[8+nameSize:]
	seq := int32(binary.BigEndian.Uint32(rest))
	rest = rest[4:]
	if kind != 2 {
		return answer{seq: seq, said: "application exception"}, nil
	}
	switch binary.BigEndian.Uint16(rest[1:]) {
	case 0:
		size := binary.BigEndian.Uint32(rest[6:])
		return answer{seq, "served", string(rest[10 : 10+size])}, nil
	case 1:
		return answer{seq: seq, said: "refused"}, nil
	}
	return answer{seq: seq, said: "failed"}, nil
}

// healthy reports whether a router answers health with good.
func healthy(address string) bool {
	c, err := dialClient(address)
	if err != nil {
		return false
	}
	defer c.conn.Close()
	c.conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.conn.Write(frame(1, "health", 1, []byte{2, 0, 1, 1, 0})); err != nil {
		return false
	}
	var size [4]byte
	if _, err := io.ReadFull(c.in, size[:]); err != nil {
		return false
	}
	message := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(c.in, message); err != nil {
		return false
	}
	// The last three bytes are the value of good and the ends of two structs.
	return len(message) > 3 && message[len(message)-3] == 1
}

// awaitHealthy waits until a router answers health with good.
func awaitHealthy(address string) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if healthy(address) {
			return nil
		}
	}
	return fmt.Errorf("the router at %s is not ready after 30 s", address)
}
