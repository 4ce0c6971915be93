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
		name, in, wantErr string
		events            int
	}{
		{"empty batch", "MARK 8.41225 1\nFLUSH\n", "", 0},
		{
			"event and endpoint list",
			"MARK 8 2\nFLEET router-3 full 41 1\nITEM 51 central box 0 ready 1 -\nTICK_DUE router-3 7\nFLUSH\n",
			"", 2,
		},
		{"unknown line name", "MARK 8 3\nBOO router-3\nFLUSH\n", `batch 3: unknown line name "BOO"`, 0},
		{"too few values", "MARK 8 4\nGONE router-3\nFLUSH\n", "GONE has 1 values, want 2", 0},
		{
			"endpoint list with too few items",
			"MARK 8 5\nFLEET router-3 full 41 2\nITEM 51 central box 0 ready 1 -\nFLUSH\n",
			"unexpected FLUSH with 1 ITEM lines outstanding", 0,
		},
		{"input ends inside a batch", "MARK 8 6\nEXIT router-3\n", "batch 6: input ended before FLUSH", 0},
		{"no start of a batch", "EXIT router-3\n", "a batch starts with MARK, not with EXIT", 0},
		{"invalid time", "MARK x 7\nFLUSH\n", `value 1 is "x", want a finite number`, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reader := NewReader(strings.NewReader(c.in))
			batch, err := reader.Read()
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Fatalf("error %v, want one with %q", err, c.wantErr)
				}
				return
			}
			if err != nil || len(batch.Events) != c.events {
				t.Fatalf("batch %+v, error %v, want %d events", batch, err, c.events)
			}
			if _, err := reader.Read(); !errors.Is(err, io.EOF) {
				t.Errorf("error after the last batch: %v, want EOF", err)
			}
		})
	}
}

func TestValues(t *testing.T) {
	line := Event{Fields: []string{"8.65225", "-", "7,1.25,-", "1", "x", "30"}}
	if ns, err := line.Time(0); ns != 8652250000 || err != nil {
		t.Errorf("Time of %q: %d ns, error %v, want 8652250000 ns", line.Fields[0], ns, err)
	}
	if n, err := line.Int(1); n != 0 || err != nil || line.Text(1) != "" {
		t.Errorf("absent value: Int %d, error %v, Text %q, want 0 and an empty text", n, err, line.Text(1))
	}
	if list, err := line.Floats(2); err != nil || len(list) != 3 || list[1] != 1.25 {
		t.Errorf("Floats of %q: %v, error %v, want 7, 1.25 and 0", line.Fields[2], list, err)
	}
	if on, err := line.Bool(3); !on || err != nil {
		t.Errorf("Bool of %q: %t, error %v, want true", line.Fields[3], on, err)
	}
	for _, i := range []int{4} {
		if _, err := line.Int(i); err == nil {
			t.Errorf("Int accepts %q", line.Fields[i])
		}
		if _, err := line.Bool(i); err == nil {
			t.Errorf("Bool accepts %q", line.Fields[i])
		}
	}
}

func TestWrite(t *testing.T) {
	for ns, want := range map[int64]string{0: "-", 1: "0.000001", 1999: "0.000001", 80000000: "0.08", 5000000000: "5"} {
		if got := Seconds(ns); got != want {
			t.Errorf("Seconds(%d) = %s, want %s", ns, got, want)
		}
	}
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Line("SAY_NO", "router-3", "ab", Seconds(250000000))
	const want = "SAY_NO router-3 ab 0.25\nREADY 11\n"
	if err := w.Ready("11"); err != nil || out.String() != want {
		t.Errorf("reply %q, error %v, want %q", out.String(), err, want)
	}
}
