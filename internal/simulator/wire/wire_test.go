package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	cases := []struct {
		name, in, fault string
		events          int
	}{
		{"empty batch", "MARK 8.41225 1\nFLUSH\n", "", 0},
		{
			"events and a list", "MARK 8 2\nFLEET router-3 full 41 1\nITEM 51 central box 0 ready 1 -\nTICK_DUE router-3 7\nFLUSH\n",
			"", 2,
		},
		{"unknown line", "MARK 8 3\nBOO router-3\nFLUSH\n", "batch 3: unknown line", 0},
		{"too few values", "MARK 8 4\nGONE router-3\nFLUSH\n", "GONE has 1 values, not 2", 0},
		{"list cut short", "MARK 8 5\nFLEET router-3 full 41 2\nITEM 51 central box 0 ready 1 -\nFLUSH\n", "out of place", 0},
		{"input ends inside", "MARK 8 6\nEXIT router-3\n", "input ended inside a batch", 0},
		{"no batch", "EXIT router-3\n", "a batch starts with MARK", 0},
		{"bad clock", "MARK x 7\nFLUSH\n", "not a number", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reader := NewReader(strings.NewReader(c.in))
			batch, err := reader.Read()
			if c.fault != "" {
				if err == nil || !strings.Contains(err.Error(), c.fault) {
					t.Fatalf("error %v, want %q", err, c.fault)
				}
				return
			}
			if err != nil || len(batch.Events) != c.events {
				t.Fatalf("%v, error %v", batch, err)
			}
			if _, err := reader.Read(); !errors.Is(err, io.EOF) {
				t.Errorf("after the last batch: %v", err)
			}
		})
	}
}

func TestValues(t *testing.T) {
	line := Event{Fields: []string{"8.65225", "-", "7,1.25,-", "1", "x", "30"}}
	if ns, err := line.Time(0); ns != 8652250000 || err != nil {
		t.Errorf("time %v, %v", ns, err)
	}
	if n, err := line.Int(1); n != 0 || err != nil || line.Text(1) != "" {
		t.Errorf("absent value %v, %v", n, err)
	}
	if row, err := line.Floats(2); err != nil || len(row) != 3 || row[1] != 1.25 {
		t.Errorf("row %v, %v", row, err)
	}
	if on, err := line.Bool(3); !on || err != nil {
		t.Errorf("switch %v, %v", on, err)
	}
	for _, i := range []int{4} {
		if _, err := line.Int(i); err == nil {
			t.Error("a word taken as a whole number")
		}
		if _, err := line.Bool(i); err == nil {
			t.Error("a word taken as a switch")
		}
	}
}

func TestWrite(t *testing.T) {
	for ns, want := range map[int64]string{0: "-", 1: "0.000001", 1999: "0.000001", 80000000: "0.08", 5000000000: "5"} {
		if got := Seconds(ns); got != want {
			t.Errorf("%d ns written %s, want %s", ns, got, want)
		}
	}
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Line("SAY_NO", "router-3", "ab", Seconds(250000000))
	if err := w.Ready("11"); err != nil || out.String() != "SAY_NO router-3 ab 0.25\nREADY 11\n" {
		t.Errorf("%q, %v", out.String(), err)
	}
}
