package main

import (
	"context"
	"path/filepath"
	"strings"
	"testing"

	"tealpath/internal/testkit"
)

// check says for each configuration of a list whether the operator's file fits it, so that an operator learns it before
// the platform changes the configuration.
func TestCheckOfSeveralConfigurations(t *testing.T) {
	folder := t.TempDir()
	operator := filepath.Join(folder, "operator.sx")
	few, many := filepath.Join(folder, "few"), filepath.Join(folder, "many")
	testkit.WriteFile(t, operator, []byte("(start (rate 1) (hold 4s))"))
	caches := []string{"127.0.0.1:1", "127.0.0.1:1"}
	testkit.WriteFile(t, few, newTestRouter(t, caches, noDiscovery, 1).config("n0", noDiscovery))
	grown := newTestRouter(t, caches, noDiscovery, 1, `"balancers":1`, `"balancers":5`)
	testkit.WriteFile(t, many, grown.config("n0", noDiscovery))
	check := func(configurations ...string) error {
		arguments := []string{"tealpath", "check", "--operator", operator}
		return app().Run(context.Background(), append(arguments, configurations...))
	}
	expectExit(t, check(few), 0, "")
	err := check(few, many)
	expectExit(t, err, exitUsage, "configuration "+many+": operator's file "+operator)
	if err != nil && strings.Contains(err.Error(), few+":") {
		t.Errorf("error %v names %s, which fits", err, few)
	}
}
