package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

func mayWrite() bool { return true }

func TestCheckHealth(t *testing.T) {
	emulator := startCache(t)
	check := HealthCheck{
		Address:          emulator.Address(),
		ID:               "00000000000000ff",
		LoadReportFields: []string{"x0", "inHand"},
		MayWrite:         mayWrite,
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()

	t.Run("not sent if MayWrite returns false", func(t *testing.T) {
		late := check
		late.MayWrite = func() bool { return false }
		if _, err := CheckHealth(ctx, late); !errors.Is(err, ErrNotSent) {
			t.Errorf("error %v, want ErrNotSent", err)
		}
	})
	t.Run("alive", func(t *testing.T) {
		load, err := CheckHealth(ctx, check)
		if err != nil || len(load) != 2 || load[0] != 0.5 {
			t.Errorf("load report %v, error %v, want two values, the first 0.5", load, err)
		}
		if got := emulator.HealthChecks(); len(got) != 1 || got[0].ID != check.ID {
			t.Errorf("the endpoint got health checks %v, want one with ID %s", got, check.ID)
		}
	})
	t.Run("silent", func(t *testing.T) {
		emulator.SetUnresponsive(true)
		short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := CheckHealth(short, check); err == nil {
			t.Error("health check of an endpoint that does not respond succeeded")
		}
	})
}

func TestHealthCheckResponses(t *testing.T) {
	for _, test := range []struct {
		name, response string
		load           []float64
		fails          bool
	}{
		{"without fields", "*2\r\n$1\r\n1\r\n$5\r\ngreen\r\n", nil, false},
		{"without a load report", "*3\r\n$1\r\n1\r\n$5\r\ngreen\r\n$1\r\n-\r\n", nil, false},
		{"with a load report", "*3\r\n$1\r\n1\r\n$5\r\ngreen\r\n$8\r\nuse=x0:2\r\n", []float64{2}, false},
		{"with another ID", "*2\r\n$1\r\n2\r\n$5\r\ngreen\r\n", nil, true},
		{"with another result word", "*2\r\n$1\r\n1\r\n$3\r\nred\r\n", nil, true},
		{"with one word only", "*1\r\n$1\r\n1\r\n", nil, true},
		{"malformed", "-ERR\r\n", nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startEndpoint(t, func(conn net.Conn, in *bufio.Reader) {
				if command := readCommand(in); fmt.Sprintf("%s", command) == "[alive 1]" {
					send(conn, test.response)
				}
				waitForClose(in)
			})
			ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
			defer cancel()
			load, err := CheckHealth(ctx, HealthCheck{
				Address:          address,
				ID:               "1",
				LoadReportFields: []string{"x0"},
				MayWrite:         mayWrite,
			})
			if (err != nil) != test.fails || !slices.Equal(load, test.load) || (load == nil) != (test.load == nil) {
				t.Errorf("load report %v, error %v, want %v, error: %t", load, err, test.load, test.fails)
			}
		})
	}
}
