package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// minimalConfig is the format of a configuration without endpoints. Its arguments are the known watch events and the
// address on which the router listens.
const minimalConfig = `{"name":"n0","journal":"127.0.0.1:1","settings":{"balancers":1,"locality":"here",
"machineTypes":["c"],"profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":1.2,"points":1,"effect":"retryable"}]},
"known":%s,"listen":"%s"}`

func TestExitCodeAndErrorAtStart(t *testing.T) {
	listener := testkit.Listen(t)
	usable := fmt.Sprintf(minimalConfig, "null", "127.0.0.1:0")
	addressInUse := fmt.Sprintf(minimalConfig, "null", listener.Addr())
	malformedList := fmt.Sprintf(minimalConfig, `{"entries":[3]}`, "127.0.0.1:0")
	const missingSetting = `{"listen":"127.0.0.1:0","journal":"127.0.0.1:1","settings":{}}`
	for _, c := range []struct {
		name, config string
		arguments    []string
		code         int
		wantError    string // part of the error
	}{
		{"unknown command", "", []string{"sevre"}, exitUsage, "sevre"},
		{"unknown flag", "", []string{"serve", "--fast"}, exitUsage, "fast"},
		{"too many arguments", "", []string{"serve", "now"}, exitUsage, "now"},
		{"malformed configuration", "{", []string{"serve"}, exitUsage, "line 1"},
		{"a required setting is missing", missingSetting, []string{"serve"}, exitUsage, "product.names"},
		{"malformed endpoint list", malformedList, []string{"check"}, exitUsage, "entry 1"},
		{"the address is in use", addressInUse, []string{"serve"}, exitFailed, "address already in use"},
		{"a usable configuration", usable, []string{"check"}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectExit(t, runWithConfig(t, t.Context(), c.config, c.arguments...), c.code, c.wantError)
		})
	}
	t.Run("the address becomes free while the router waits for it", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		time.AfterFunc(200*time.Millisecond, func() { testkit.Close(listener) })
		time.AfterFunc(400*time.Millisecond, cancel)
		expectExit(t, runWithConfig(t, ctx, addressInUse, "serve"), 0, "")
	})
}

// runWithConfig runs the program in this process with a configuration and returns its error. It checks that the
// program does not close standard error.
func runWithConfig(t *testing.T, ctx context.Context, config string, arguments ...string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	testkit.WriteFile(t, path, []byte(config))
	t.Setenv("LB_CONFIG", path)
	err := app().Run(ctx, append([]string{"tealpath"}, arguments...))
	if _, closed := os.Stderr.WriteString(""); closed != nil {
		t.Errorf("standard error is closed: %v", closed)
	}
	return err
}

// If SIGTERM arrives before the router listens, the router ends without an error and does not wait for its address.
func TestShutdownDuringStart(t *testing.T) {
	caches := startCaches(t)
	discovery := testkit.StartEventStream(t)
	t.Run("while it reads its configuration", func(t *testing.T) {
		const signalPause = 20 * time.Millisecond // an unhandled signal ends the process within this time
		router := newTestRouter(t, addresses(caches), discovery.Address, 1.2)
		pipe := filepath.Join(t.TempDir(), "config")
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Skipf("named pipes are not available: %v", err)
		}
		router.configPath = pipe
		router.useEnvironment(t)
		ended := router.start()
		file, err := os.OpenFile(pipe, os.O_WRONLY, 0) // blocks until the router opens the pipe
		if err != nil {
			t.Fatal(err)
		}
		terminate(t)
		time.Sleep(signalPause)
		if _, err := file.Write(router.config("n0", discovery.Address)); err != nil {
			t.Error(err)
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
		testkit.ExpectNoError(t, ended, drainTimeout)
	})
	t.Run("while it waits for its address", func(t *testing.T) {
		const startPause = 100 * time.Millisecond // until the router waits for its address; the test cannot observe it
		router := newTestRouter(t, addresses(caches), discovery.Address, 1.2)
		router.useEnvironment(t)
		testkit.ListenAt(t, router.address)
		ended := router.start()
		time.Sleep(startPause)
		terminate(t)
		testkit.ExpectNoError(t, ended, 500*time.Millisecond)
	})
}

// While discovery is unavailable, a router that knows endpoints from its configuration serves at once. A router that
// knows no endpoints fails health checks and rejects requests at once.
func TestStartWithoutDiscovery(t *testing.T) {
	caches := startCaches(t)
	for _, c := range []struct {
		name     string
		known    bool
		response string
	}{
		{"endpoints are known", true, testkit.Served},
		{"no endpoints are known", false, testkit.Rejected},
	} {
		t.Run(c.name, func(t *testing.T) {
			router := newTestRouter(t, addresses(caches), noDiscovery, 1.2)
			if !c.known {
				router.forgetEndpoints(t)
			}
			ended := router.serve(t)
			client := testkit.Dial(t, router.address)
			startedAt := time.Now()
			client.Expect(client.Call(testkit.ObjectID(1), clientTimeout), c.response)
			if took := time.Since(startedAt); took > 600*time.Millisecond {
				t.Errorf("response after %v, want at most 600 ms", took)
			}
			client.ExpectHealth(c.known)
			terminate(t)
			testkit.ExpectNoError(t, ended, drainTimeout)
		})
	}
}
