// Package discovery keeps a watch open on the discovery service, which sends the endpoint list, changes to it
// and purges as numbered watch events. After each disconnect the watch resumes after the last event that was
// processed.
package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"tealpath/internal/clock"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/logevent"
	"tealpath/internal/router"
)

// dialTimeout bounds how long a connection to the service may take to be established.
const dialTimeout = 700 * time.Millisecond

// Config is what a watcher is made of.
type Config struct {
	Address  string                // of the discovery service, as host:port
	History  History               // what was known before the first call
	Schedule *startup.CallSchedule // when the service is called
	Post     func(router.Event)    // takes the events, in order; it may block
	Log      func(logevent.Event)
	Clock    clock.Clock // nil is clock.System
}

// Watcher follows the discovery service and posts its watch events to the reducer. startup.CallSchedule
// decides when it calls the service, startup.ListFilter which endpoint lists it accepts.
//
// The fields without a lock belong to the goroutine of Run.
type Watcher struct {
	post           func(router.Event)
	log            func(logevent.Event)
	clock          clock.Clock
	dial           dialFunc
	schedule       *startup.CallSchedule
	maxReadTimeout time.Duration // bounds the wait for the next byte in tests; 0 is no further bound

	disconnected bool  // a call has failed, and nothing has come since
	position     int64 // of the last event that was processed
	unusable     int   // how often the event after position could not be used
	lists        startup.ListFilter
	snapshotList *snapshotList // waits to be confirmed; nil: there is none

	mu         sync.Mutex
	address    string             // guarded by mu
	cancelCall context.CancelFunc // guarded by mu; ends the current call, or the wait before it
}

// dialFunc opens a connection, as net.Dialer.DialContext does; tests put errors of the system in its place.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ServiceReached is posted when the service has sent the first event or comment on a new connection.
type ServiceReached struct{}

// EventProcessed is posted after the events of one watch event: its position, and the digest of its text.
type EventProcessed struct {
	Position int64
	Digest   uint64
}

// NewWatcher returns a watcher that resumes after what is already known.
func NewWatcher(config Config) *Watcher {
	watcher := &Watcher{
		post:     config.Post,
		log:      config.Log,
		clock:    config.Clock,
		dial:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		schedule: config.Schedule,
		position: config.History.Position,
		lists:    config.History.lists,
		address:  config.Address,
	}
	if watcher.clock == nil {
		watcher.clock = clock.System()
	}
	switch {
	case config.History.hasList:
		watcher.schedule.ListReceived()
	case config.History.snapshotList != nil:
		watcher.snapshotList = config.History.snapshotList
		watcher.position = watcher.snapshotList.confirmation.ResumeAfter()
	}
	return watcher
}

// SetAddress makes the watch resume at another address. The current connection is closed at once: the service
// at the address before sends nothing new on it, but may keep it open.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = address
	if w.cancelCall != nil {
		w.cancelCall()
	}
}

// Run keeps the watch open until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	delay := w.schedule.FirstDelay()
	for ctx.Err() == nil {
		delay = w.runCall(ctx, delay)
	}
	return nil
}

// runCall makes one call after a delay, and returns the delay before the next one, ns. A change of the
// address ends both the delay and the call.
func (w *Watcher) runCall(ctx context.Context, delay int64) (nextDelay int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.setCancelCall(cancel)
	pause(ctx, delay)
	if ctx.Err() == nil {
		result, err := w.call(ctx, w.currentAddress())
		if ctx.Err() == nil {
			nextDelay = w.backoff(result, err)
		}
	}
	if ctx.Err() != nil { // nothing is known of the new address yet
		nextDelay = w.schedule.AddressChanged(w.clock.Now())
	}
	return nextDelay
}

func (w *Watcher) setCancelCall(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall = cancel
}

func (w *Watcher) currentAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}
