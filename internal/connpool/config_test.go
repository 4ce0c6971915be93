package connpool

import (
	"errors"
	"testing"
)

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		Config
		good bool
	}{{Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 20}, true}, {Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 5}, false}, {Config{Routers: 3}, false}} {
		if err := test.Check(); (err == nil) != test.good {
			t.Errorf("%+v: %v", test.Config, err)
		}
	}
	err := Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 5}.Check()
	var rate *ConnectRateError
	if !errors.As(err, &rate) || err.Error() != "300 routers take 60 s to open one connection each at 5 a second, 30 s at most" {
		t.Errorf("%T: %v", err, err)
	}
	err = Config{Routers: 3}.Check()
	var connections *MaxConnectionsError
	if !errors.As(err, &connections) || err.Error() != "a cache that holds 0 connections" {
		t.Errorf("%T: %v", err, err)
	}
}
