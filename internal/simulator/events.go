package simulator

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"tealpath/control"
	"tealpath/internal/config"
	"tealpath/internal/logevent"
	"tealpath/internal/simulator/wire"
)

// handle handles one event. Events of unknown and stopped instances and of those with invalid settings are ignored.
func (h *Host) handle(now int64, event wire.Event) error {
	if event.Name == "START" {
		return h.start(now, event)
	}
	in := h.instances[event.Fields[0]]
	if in == nil || in.router == nil {
		return nil
	}
	switch event.Name {
	case "EXIT":
		delete(h.instances, in.name)
	case "FLEET":
		return h.updateEndpoints(now, in, event)
	case "SUBMIT":
		return h.receiveRequest(now, in, event)
	case "ENDED":
		return h.endAttempt(now, in, event)
	case "ESTABLISHED":
		return h.startResponse(now, in, event)
	case "GONE":
		h.clientGone(now, in, event.Fields[1])
	case "RECALLED":
		return h.purge(now, in, event)
	case "ECHO":
		return h.endProbe(now, in, event)
	case "TICK_DUE":
		h.fireTimer(now, in, event.Fields[1])
	}
	return nil
}

// start starts an instance. If package control rejects its settings, commandBailOut is sent instead.
func (h *Host) start(now int64, event wire.Event) error {
	name := event.Fields[0]
	seed, err := strconv.ParseUint(event.Fields[1], 10, 64)
	if err != nil {
		return fmt.Errorf("seed %q: %w", event.Fields[1], errSeed)
	}
	raw, err := config.ParseSettings([]byte(event.Fields[2]))
	if err != nil {
		return err
	}
	settings, err := control.DecodeSettings(raw)
	in := &instance{name: name, requests: map[string]*request{}, subscribes: settings.SubscribesToEndpointList}
	h.instances[name] = in
	if err != nil {
		h.out.Line(commandBailOut, name, err.Error())
		return nil
	}
	log := func(event logevent.Event) { h.out.Line(commandLog, name, logevent.Text(event)) }
	in.router = control.New(now, seed, settings, log)
	h.tick(now, in)
	return nil
}

// tick does the periodic work of an instance: it starts the health checks that are due, subscribes to the endpoint
// list if that is due, and sets the timer for the next tick.
func (h *Host) tick(now int64, in *instance) {
	probes, delay := in.router.Tick(now)
	for _, id := range probes {
		h.out.Line(commandProbe, in.name, encodeEndpoint(id))
	}
	if in.subscribes && now >= in.subscribeAt {
		in.subscribeAt = math.MaxInt64
		h.out.Line(commandSubscribe, in.name, "1")
	}
	h.out.Line(commandSetTimer, in.name, wire.Seconds(delay), tickTimer)
}

func (h *Host) fireTimer(now int64, in *instance, token string) {
	switch token {
	case tickTimer:
		h.tick(now, in)
	case recheckTimer:
		h.recheck(now, in)
	}
}

func (h *Host) updateEndpoints(now int64, in *instance, event wire.Event) error {
	if event.Fields[1] == listFailed {
		in.subscribeAt = now + subscribeRetryDelay
		return nil
	}
	endpoints := make([]control.Endpoint, len(event.Items))
	for i, item := range event.Items {
		endpoint, err := decodeEndpoint(item)
		if err != nil {
			return fmt.Errorf("endpoint %q: %w", item.Line, err)
		}
		endpoints[i] = endpoint
	}
	complete := event.Fields[1] != listDelta
	in.router.UpdateEndpoints(now, endpoints, complete)
	return nil
}

func (h *Host) receiveRequest(now int64, in *instance, event wire.Event) error {
	r, err := decodeRequest(event)
	if err != nil {
		return err
	}
	in.requests[r.id] = r
	h.apply(now, in, r, in.router.Decide(now, &r.Request))
	return nil
}

func (h *Host) endAttempt(now int64, in *instance, event wire.Event) error {
	outcome, err := decodeOutcome(event)
	if err != nil {
		return err
	}
	r := in.requests[event.Fields[1]]
	if r == nil {
		return nil
	}
	r.attempts--
	decision := in.router.AttemptEnded(now, &r.Request, outcome)
	if outcome.RequestEnded || r.finished {
		h.cancel(in, r, decision.Cancel)
		in.finish(r)
		return nil
	}
	h.apply(now, in, r, decision)
	return nil
}

// startResponse handles an ESTABLISHED event: the response of one attempt is being forwarded to the client. All
// other attempts of the request are cancelled.
func (h *Host) startResponse(now int64, in *instance, event wire.Event) error {
	r := in.requests[event.Fields[1]]
	if r == nil {
		return nil
	}
	number, err := event.Int(3)
	if err != nil {
		return err
	}
	others := in.router.EndRequest(now, &r.Request).Cancel // ends the request; Cancel has all attempts in flight
	others = slices.DeleteFunc(others, func(other int) bool { return other == int(number) })
	h.cancel(in, r, others)
	return nil
}

func (h *Host) clientGone(now int64, in *instance, id string) {
	r := in.requests[id]
	if r == nil {
		return
	}
	in.router.EndRequest(now, &r.Request)
	in.finish(r)
}

func (h *Host) purge(now int64, in *instance, event wire.Event) error {
	purged, err := decodePurge(event)
	if err != nil {
		return err
	}
	in.router.Purge(now, purged.object, purged.group, now-purged.age)
	return nil
}

func (h *Host) endProbe(now int64, in *instance, event wire.Event) error {
	id, err := decodeEndpointID(event.Fields[3])
	if err != nil {
		return err
	}
	loadReport, err := event.Floats(4)
	if err != nil {
		return err
	}
	in.router.ProbeEnded(now, id, event.Fields[2] == probeSucceeded, loadReport)
	return nil
}
