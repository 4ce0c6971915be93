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
			t.Errorf("%+v: %v", test.config, err)
		}
	}
	err := Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 5}.Check()
	var rate *ConnectRateError
	const wantRate = "300 routers take 60 s to open one connection each at 5 a second, 30 s at most"
	if !errors.As(err, &rate) || err.Error() != wantRate {
		t.Errorf("%T: %v", err, err)
	}
	err = Config{Routers: 3}.Check()
	var connections *MaxConnectionsError
	if !errors.As(err, &connections) || err.Error() != "a cache that holds 0 connections" {
		t.Errorf("%T: %v", err, err)
	}
}
