// Package discovery keeps a watch open on the discovery service, which sends the endpoint list, changes to the list
// and purges as numbered watch events. After a disconnect, the watch resumes after the last processed event.
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

// dialTimeout bounds the time to establish a connection to the service.
const dialTimeout = 700 * time.Millisecond

// Config holds the settings and dependencies of a Watcher.
type Config struct {
	Address  string                // address of the discovery service, as host:port
	History  History               // what is known of the watch before the first call of the service
	Schedule *startup.CallSchedule // decides when the service is called, and the timeouts for reading
	Post     func(router.Event)    // receives the events for the router, in order; it may block
	Log      func(logevent.Event)
	Clock    clock.Clock // nil: clock.System
}

// Watcher follows the discovery service and posts its watch events to the reducer. startup.CallSchedule
// decides when it calls the service, startup.ListFilter which endpoint lists it accepts.
//
// Fields that are not guarded by mu are used only by the goroutine of Run.
type Watcher struct {
	post           func(router.Event)
	log            func(logevent.Event)
	clock          clock.Clock
	dial           dialFunc
	schedule       *startup.CallSchedule
	maxReadTimeout time.Duration // upper bound of read timeouts, set by tests; 0: none

	disconnected bool  // a call has failed, and no data has been received since
	position     int64 // position of the last processed or skipped event; 0: none yet
	eventRetries int   // consecutive calls that failed because the event after position was unusable or missing
	lists        startup.ListFilter
	snapshotList *snapshotList // list that the service has not confirmed yet; nil: none
	unanswered   *opening      // earlier call whose answer is still awaited; nil: none

	mu            sync.Mutex
	address       string             // guarded by mu
	cancelAddress context.CancelFunc // guarded by mu; ends the calls of the present address, and the delays before them
}

// dialFunc has the signature of net.Dialer.DialContext; tests replace it to inject errors.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ServiceReached is posted when the service has sent the first event or comment on a new connection.
type ServiceReached struct{}

// EventProcessed is posted for each processed watch event, after the router event decoded from it, if any. Position is
// the watch event's position, and Digest a hash of its JSON.
type EventProcessed struct {
	Position int64
	Digest   uint64
}

// NewWatcher returns a watcher that calls the service once Run is called. The first call resumes after the events in
// config.History.
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

// SetAddress makes the watch resume at another address. It closes the current connection at once, because the service
// at the old address may keep it open without sending new events.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = address
	if w.cancelAddress != nil {
		w.cancelAddress()
	}
}

// Run keeps the watch open until ctx ends. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	delay := w.schedule.FirstDelay(w.clock.Now())
	for ctx.Err() == nil {
		w.watchAddress(ctx, delay)
		delay = w.schedule.AddressChanged(w.clock.Now())
	}
	return nil
}

// watchAddress calls the service at its present address until SetAddress is called or ctx ends. delay, ns, is the time
// before the first call.
func (w *Watcher) watchAddress(ctx context.Context, delay int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	address := w.enterAddress(cancel)
	defer w.dropUnanswered()
	for {
		result, err := w.call(ctx, address, delay)
		if ctx.Err() != nil {
			return // nothing is known of the next address
		}
		delay = w.backoff(result, err)
	}
}

// enterAddress returns the present address. A later SetAddress calls cancel.
func (w *Watcher) enterAddress(cancel context.CancelFunc) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAddress = cancel
	return w.address
}
