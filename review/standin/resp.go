package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readArray reads one RESP array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(line[1:])
}

// encodeArray returns a RESP array of bulk strings.
func encodeArray(words ...string) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(out.String())
}

// field returns the value of a field in a list of name=value pairs.
func field(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}
