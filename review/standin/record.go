// Command standin plays the review's cases. It starts routers with the run command of the deploy file, and takes the
// place of their clients, cache servers, parent, origin and discovery service on loopback addresses.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, one line for each event.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begin: time.Now()}, err
}

// line writes one event with the seconds since the start of the case.
func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.begin).Seconds(), text)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
