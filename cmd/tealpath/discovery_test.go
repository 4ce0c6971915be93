package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/testkit"
)

// stopSending replaces formerGrace in the configuration. It adds the setting that a router must stop sending requests
// to a cache within 0.25 s after the cache begins to drain.
const formerGrace, stopSending = `"graceToAnswerS"`, `"stopSendingWithinS":0.25,"graceToAnswerS"`

// A cache begins to drain while the router restarts. Both the router that ends and the one that starts, which knows the
// cache from its configuration, stop sending requests to the cache in time, and every request is answered.
func TestRestartWhileCacheDrains(t *testing.T) {
	t.Parallel()
	const grace, slack = 250 * time.Millisecond, 50 * time.Millisecond
	router, caches, service := newTestCell(t, 1.2, formerGrace, stopSending)
	former := router.spawnHealthy(t)
	termination := former.Terminate()
	service.Publish(drainEvent(caches[0], "s-a"))
	callUntilClosed(t, router, caches, 0, 20) // the router that ends still accepts connections
	termination.ExpectEndWithin(clientTimeout + killDelay)
	startedAt := time.Now()
	router.spawnHealthy(t)
	for time.Since(startedAt) < time.Second {
		callUntilClosed(t, router, caches, 1000, 20)
	}
	for _, request := range caches[0].Requests("") {
		sinceDrain, sinceRestart := request.At.Sub(termination.At), request.At.Sub(startedAt)
		if sinceDrain > grace+slack && request.At.Before(startedAt) {
			t.Errorf("the draining cache got a request %v after it began to drain, at most %v is allowed",
				sinceDrain, grace+slack)
		}
		if sinceRestart > grace+slack {
			t.Errorf("the draining cache got a request %v after the next router started, at most %v is allowed",
				sinceRestart, grace+slack)
		}
	}
	if count := len(caches[1].Requests("")); count < 20 {
		t.Errorf("the other cache got %d requests, want at least 20", count)
	}
}

// callUntilClosed sends count requests on a new connection, each after the response to the previous request, and stops
// early if the router closes the connection. It checks that no request is lost.
func callUntilClosed(t *testing.T, router *testRouter, caches []*testkit.Cache, firstObject, count int) {
	t.Helper()
	client := testkit.Dial(t, router.address)
	for n := firstObject; n < firstObject+count; n++ {
		e := exchange{object: testkit.ObjectID(n), sentAt: time.Now()}
		sequence := client.Call(e.object, clientTimeout)
		got, result := client.Next()
		e.answered = got == sequence
		if e.answered && !strings.Contains(result, testkit.Served) {
			t.Errorf("response %q to the request for %s, want %q", result, e.object, testkit.Served)
		}
		expectNoneLost(t, caches, []exchange{e}, time.Now(), 0)
		if !e.answered {
			return
		}
	}
}

// The configuration is reloaded several times in quick succession, each time with another discovery service. The
// request in flight is answered, and the router watches the last service.
func TestLastOfSeveralReloadsIsInEffect(t *testing.T) {
	t.Parallel()
	const reloadInterval = 10 * time.Millisecond // a signal that is sent while the same one is pending is lost
	router, caches, first := newTestCell(t, 1.2, formerGrace, stopSending)
	services := []*discoveryserver.Service{first}
	for range 5 {
		service := startDiscovery(t)
		service.Publish(router.listEvent())
		services = append(services, service)
	}
	process := router.spawnHealthy(t)
	for _, cache := range caches {
		cache.SetBehavior(testkit.Respond, 300*time.Millisecond)
	}
	client := testkit.Dial(t, router.address)
	inFlight := client.Call(testkit.ObjectID(1), clientTimeout)
	testkit.WaitUntil(t, testkit.Timeout, "the request is in flight", func() bool {
		return requestCount(caches, testkit.ObjectID(1)) > 0
	})
	for _, service := range services[1:] {
		router.writeConfig(t, "n0", service.Address())
		process.Signal(syscall.SIGHUP)
		time.Sleep(reloadInterval)
	}
	client.Expect(inFlight, testkit.Served)
	last := services[len(services)-1]
	testkit.WaitUntil(t, testkit.Timeout, "the last service is watched", func() bool { return len(last.Calls()) > 0 })
	last.Publish(drainEvent(caches[0], "s-a"))
	publishedAt := time.Now()
	for _, cache := range caches {
		cache.SetBehavior(testkit.Respond, 0)
	}
	for n := 10; time.Since(publishedAt) < 600*time.Millisecond; n++ {
		client.ExpectServed(testkit.ObjectID(n), clientTimeout)
	}
	for _, request := range caches[0].Requests("") {
		if sent := request.At.Sub(publishedAt); sent > 300*time.Millisecond {
			t.Errorf("the draining cache got a request %v after the last service published it, at most 300 ms are allowed", sent)
		}
	}
}

// The discovery service is slow: it sends few bytes per second and accepts few calls per second. Routers that start
// with known endpoints serve at once. Routers that start without any fail health checks until they have received the
// endpoint list. All routers apply the watch events that are published later.
func TestSlowDiscoveryReachesAllRouters(t *testing.T) {
	t.Parallel()
	const count = 6
	first, caches, service := newTestCell(t, 1.2)
	service.SetBehavior(discoveryserver.Behavior{MaxCallRate: 8, BytesPerSecond: 3000})
	routers := []*testRouter{first}
	for n := 1; n < count; n++ {
		router := newTestRouter(t, addresses(startCaches(t)), service.Address(), 1.2)
		if n%2 == 1 {
			router.forgetEndpoints(t)
		}
		routers = append(routers, router)
	}
	var processes []*testkit.RouterProcess
	for _, router := range routers {
		processes = append(processes, router.spawn(t))
	}
	for n, router := range routers {
		processes[n].WaitHealthy(testkit.Timeout)
		testkit.Dial(t, router.address).ExpectServed(testkit.ObjectID(n), clientTimeout)
	}
	testkit.WaitUntil(t, testkit.Timeout, "all routers have called discovery", func() bool {
		return len(service.Calls()) >= count
	})
	service.Publish(drainEvent(caches[0], "s-a"))
	for n, router := range routers[1:] {
		// The routers that started without endpoints received the service's list, which has the caches of router 0.
		// The first of these is draining now.
		client := testkit.Dial(t, router.address)
		testkit.WaitUntil(t, testkit.Timeout, fmt.Sprintf("router %d stops sending to the cache", n+1), func() bool {
			before := len(caches[0].Requests(""))
			for object := range 8 {
				client.ExpectServed(testkit.ObjectID(100+object), clientTimeout)
			}
			return len(caches[0].Requests("")) == before
		})
	}
}
