package discovery

import (
	"context"
	"errors"
	"time"

	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/neterr"
)

// errUnanswered is the cause of a call that is repeated because its answer has not begun in time.
var errUnanswered = errors.New("no answer yet")

// opening is a call whose answer has not begun. A goroutine of its own waits for the answer.
//
// A call that is not answered in time is repeated, but the answer is still awaited beside the next calls: a slow
// service answers it first, and changes have to be learned before the notification deadline.
type opening struct {
	call   *call
	stop   func() bool // ends the closing of the connection with the context
	result chan error  // receives nil once the answer has begun, or the error that ended the call
}

// dialCall connects to the service and requests the watch. If it cannot connect, it returns the result of the call and
// the error.
func (w *Watcher) dialCall(ctx context.Context, address string) (*opening, startup.CallResult, error) {
	dialled, err := w.dial(ctx, "tcp", address)
	if err != nil {
		return nil, dialResult(err), err
	}
	w.schedule.CallStarted(w.clock.Now())
	conn := neterr.Conn{Conn: dialled}
	opened := &opening{
		call:   &call{watcher: w, conn: conn},
		stop:   context.AfterFunc(ctx, func() { neterr.Close(conn) }),
		result: make(chan error, 1),
	}
	if err := conn.SetDeadline(time.Now().Add(time.Duration(startup.MaxAnswerTime))); err != nil {
		opened.close()
		return nil, startup.Disconnected, err
	}
	resumeAfter := w.position
	go func() { opened.result <- opened.call.open(address, resumeAfter) }()
	return opened, 0, nil
}

// close ends a call. Its goroutine ends as well.
func (o *opening) close() {
	o.stop()
	neterr.Close(o.call.conn)
}

// awaitAnswer waits until the answer of a call, or of the earlier unanswered one, has begun. It returns the call that
// is answered and closes the other one. If the call fails, awaitAnswer returns its result and the error. If it is not
// answered in time, it is kept as the unanswered call, unless there is an earlier one.
func (w *Watcher) awaitAnswer(ctx context.Context, opened *opening) (*opening, startup.CallResult, error) {
	timer := time.NewTimer(time.Until(w.readDeadline()))
	defer timer.Stop()
	for {
		select {
		case err := <-opened.result:
			if err != nil {
				opened.close()
				return nil, opened.call.openResult(err), err
			}
			w.dropUnanswered()
			return w.begin(opened), 0, nil
		case err := <-w.unansweredResult():
			if earlier := w.takeUnanswered(err); earlier != nil {
				opened.close()
				return earlier, 0, nil
			}
		case <-timer.C:
			if w.unanswered == nil {
				w.unanswered = opened
			} else {
				opened.close()
			}
			return nil, startup.Unanswered, errUnanswered
		case <-ctx.Done():
			opened.close()
			return nil, startup.Disconnected, ctx.Err()
		}
	}
}

// pause returns nil after delay ns, or when ctx ends. If the unanswered call is answered before that, pause returns it
// at once.
func (w *Watcher) pause(ctx context.Context, delay int64) *opening {
	timer := time.NewTimer(time.Duration(delay))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case err := <-w.unansweredResult():
			if earlier := w.takeUnanswered(err); earlier != nil {
				return earlier
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// begin prepares a call whose answer has begun for being read by the caller.
func (w *Watcher) begin(answered *opening) *opening {
	w.schedule.CallStarted(w.clock.Now())
	answered.call.answered = true
	return answered
}

// unansweredResult returns the channel on which the unanswered call reports. It is nil, on which nothing is received,
// if there is no such call.
func (w *Watcher) unansweredResult() <-chan error {
	if w.unanswered == nil {
		return nil
	}
	return w.unanswered.result
}

// takeUnanswered handles the result of the unanswered call, which is none from then on. It returns the call if its
// answer has begun.
func (w *Watcher) takeUnanswered(err error) *opening {
	earlier := w.unanswered
	w.unanswered = nil
	if err != nil {
		earlier.close()
		return nil
	}
	return w.begin(earlier)
}

// dropUnanswered closes the unanswered call, if there is one.
func (w *Watcher) dropUnanswered() {
	if w.unanswered != nil {
		w.unanswered.close()
		w.unanswered = nil
	}
}
