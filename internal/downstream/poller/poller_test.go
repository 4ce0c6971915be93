//go:build linux

package poller

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

func TestParkWakeAndResume(t *testing.T) {
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	for _, early := range []bool{true, false} { // something came before it rested, or after
		poller, err := New()
		if err != nil {
			t.Fatal(err)
		}
		client, server := pair(t)
		if early {
			client.Write([]byte("abc"))
			time.Sleep(20 * time.Millisecond)
		}
		const key = 1<<63 | 7
		fd, err := poller.Suspend(server, key)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := server.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is still one")
		}
		if !early {
			if poller.HasEvents() {
				t.Error("ready, though nothing came")
			}
			client.Write([]byte("abc"))
		}
		keys, err := poller.Wait(ctx, nil)
		if err != nil || len(keys) != 1 || keys[0] != key || !poller.HasEvents() {
			t.Fatalf("%x, %v", keys, err)
		}
		if content := Kernel.Peek(fd); content != Data {
			t.Errorf("content %d", content)
		}
		again, err := poller.Resume(fd)
		if err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 3)
		if _, err := io.ReadFull(again, got); err != nil || string(got) != "abc" {
			t.Errorf("%q, %v", got, err)
		}
		if _, err := again.Write([]byte("d")); err != nil {
			t.Error(err)
		}
		if _, err := io.ReadFull(client, got[:1]); err != nil || got[0] != 'd' {
			t.Errorf("%q, %v", got[:1], err)
		}
		again.Close()
	}
	if Kernel.Peek(-1) != EndOfStream {
		t.Error("a descriptor that is none is taken for a connection")
	}
	poller, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := poller.Resume(-1); err == nil {
		t.Error("a descriptor that is none was resumed")
	}
	short, stop2 := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop2()
	if _, err := poller.Wait(short, nil); err == nil {
		t.Error("it waits without end")
	}
}
