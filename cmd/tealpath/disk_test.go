package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A real process whose disk does not answer: a named pipe in the snapshot's place, which nobody writes to, stops whoever opens
// it. It serves, and ends before it is killed, 0.7 s after the longest deadline.
func TestHungDisk(t *testing.T) {
	const deadline = 300 * time.Millisecond
	journal, _ := newJournal(t)
	p := newProgram(t, []*stand{newStand(t, "s-a"), newStand(t, "s-b")}, journal, deadline.Seconds())
	folder := t.TempDir()
	if err := syscall.Mkfifo(filepath.Join(folder, "kept"), 0o600); err != nil {
		t.Fatal(err)
	}
	operator := filepath.Join(folder, "operator.sx")
	if err := os.WriteFile(operator, []byte(`(snapshot (file "kept") (every 1s))`), 0o600); err != nil {
		t.Fatal(err)
	}
	router := exec.Command(buildProgram(t), "serve", "--operator", operator)
	router.Env = append(os.Environ(), "LB_CONFIG="+p.file)
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kill(router.Process) })
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", p.address); err == nil {
			discard(conn)
			break
		}
		if time.Now().After(end) {
			t.Fatal("it does not listen")
		}
	}
	c := dial(t, p.address)
	for n := range 20 {
		c.want(c.call(object(n), 300), settled)
	}
	discard(c.conn)
	told := time.Now()
	if err := router.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := router.Wait(); err != nil {
		t.Error(err)
	}
	if took := time.Since(told); took >= deadline+700*time.Millisecond {
		t.Error(fmt.Sprint("ended after ", took))
	}
}
