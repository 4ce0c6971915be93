package connpool

import (
	"errors"
	"testing"
)

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		config Config
		valid  bool
	}{
		{Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 20}, true},
		{Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 5}, false},
		{Config{Routers: 3}, false},
	} {
		if err := test.config.Check(); (err == nil) != test.valid {
			t.Errorf("%+v: error %v, want valid %v", test.config, err, test.valid)
		}
	}
	err := Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 5}.Check()
	var rate *ConnectRateError
	const wantRate = "300 routers take 60 s to open one connection each at 5 a second; at most 30 s are allowed"
	if !errors.As(err, &rate) || err.Error() != wantRate {
		t.Errorf("error %T %q, want *ConnectRateError %q", err, err, wantRate)
	}
	err = Config{Routers: 3}.Check()
	var connections *MaxConnectionsError
	const wantConnections = "each cache accepts 0 connections, at least 1 is required"
	if !errors.As(err, &connections) || err.Error() != wantConnections {
		t.Errorf("error %T %q, want *MaxConnectionsError %q", err, err, wantConnections)
	}
}
