package connpool

const (
	// On a connection to a cache outside the subset, requests are sent for outsideSendDuration after it is dialled.
	// Such a connection is assumed to be open for at most maxOutsideDuration, which includes dialling and the time
	// until the requests in flight have ended.
	outsideSendDuration = second
	maxOutsideDuration  = outsideSendDuration + outsideSendDuration/2

	// Delay before a cache that refused a connection is dialled again, with decorrelated jitter (Brooker,
	// "Exponential Backoff And Jitter", 2015), as in internal/lifecycle/startup: each delay is a random time between
	// minRefusedDelay and backoffGrowth times the previous delay, but no longer than maxRefusedDelay.
	minRefusedDelay = 250 * millisecond
	maxRefusedDelay = 8 * second
	backoffGrowth   = 3

	// idleTimeout is how long a connection may be idle while the router has more than MaxPerEndpoint connections to
	// the same cache. It is then closed.
	idleTimeout = 500 * millisecond

	// minConnectDelay is the least time between two dials to the same cache. It prevents two events that are handled
	// at the same time from dialling it twice.
	minConnectDelay = millisecond
)

// connectDelay returns the time, in ns, that all routers together need to open one connection each to a cache without
// exceeding the connect rate. It is 0 for a cache of the subset if the connect rate is not limited.
func (p *Plan) connectDelay(endpoint *endpoint) int64 {
	delay := int64(0)
	if p.config.MaxConnectRate > 0 {
		delay = int64(float64(p.config.Routers) / p.config.MaxConnectRate * float64(second))
	}
	if !endpoint.inSubset {
		delay = max(delay, p.outsideDelay)
	}
	return delay
}

// CanConnect reports whether one more connection to a cache may be opened now; open is the number of connections that
// the router has to it. It is true for a cache that is not in the plan.
func (p *Plan) CanConnect(now int64, name string, open int) bool {
	endpoint := p.find(name)
	switch {
	case endpoint == nil:
		return true
	case now < endpoint.connectAt:
		return false
	case endpoint.inSubset:
		return open < p.MaxPerEndpoint
	}
	return open == 0
}

// CanSend reports whether another request may be sent on an open connection to a cache. Outside the subset sending
// ends after outsideSendDuration, so that other routers can connect to the cache.
func (p *Plan) CanSend(now int64, name string) bool {
	endpoint := p.find(name)
	return endpoint == nil || endpoint.inSubset || now < endpoint.sendUntil
}

// ShouldClose reports whether a connection that has been idle since idleSince is closed before the usual idle timeout;
// open is the number of connections that the router has to its cache. Connections outside the subset are closed once
// sending on them has ended, and connections in excess of MaxPerEndpoint after idleTimeout.
func (p *Plan) ShouldClose(now int64, name string, open int, idleSince int64) bool {
	endpoint := p.find(name)
	switch {
	case endpoint == nil:
		return false
	case !endpoint.inSubset:
		return now >= endpoint.sendUntil
	}
	return open > p.MaxPerEndpoint && now-idleSince > idleTimeout
}

// Preconnect returns the caches of the subset that the router should connect to now, before there is a request for
// them, the most preferred first. It returns none if the connect rate is not limited: the first request for a cache can
// then open a connection without delay.
func (p *Plan) Preconnect(now int64) (names []string) {
	if p == nil || p.config.MaxConnectRate == 0 {
		return nil
	}
	for _, endpoint := range p.ranking[:p.SubsetSize] {
		if !endpoint.preconnected && now >= endpoint.connectAt {
			endpoint.preconnected = true
			names = append(names, endpoint.name)
		}
	}
	return names
}

// Dialled records that the router is opening a connection to a cache, and sets when the next one may be opened.
func (p *Plan) Dialled(now int64, name string) {
	endpoint := p.find(name)
	if endpoint == nil {
		return
	}
	delay := p.connectDelay(endpoint)
	// The next connection may be opened after 0.5 to 1.5 times the delay, so that routers that connected at the same
	// time do not do so again.
	endpoint.connectAt = now + max(minConnectDelay, delay/2+p.draw(delay))
	if !endpoint.inSubset {
		endpoint.sendUntil = now + outsideSendDuration
		endpoint.connectAt = now + delay + p.draw(delay) // at least the delay, to stay within outsideConnectRate
	}
}

// Established records that a connection to a cache is established, and resets the backoff after refusals.
func (p *Plan) Established(name string) {
	if endpoint := p.find(name); endpoint != nil {
		endpoint.refusedDelay = 0
	}
}

// Disconnected records that an established connection ended without being closed by the router. If the cache crashed,
// all routers lost their connections at once, so the next connection is delayed at random to spread the reconnects.
func (p *Plan) Disconnected(now int64, name string) {
	endpoint := p.find(name)
	if endpoint == nil {
		return
	}
	endpoint.preconnected = false
	endpoint.connectAt = max(endpoint.connectAt, now+p.draw(p.connectDelay(endpoint)))
}

// ConnectFailed records that a connection could not be established for a reason on the side of the cache. The cache
// may have reached its limit because there are more routers than the settings state.
func (p *Plan) ConnectFailed(now int64, name string) {
	endpoint := p.find(name)
	if endpoint == nil {
		return
	}
	limit := max(backoffGrowth*endpoint.refusedDelay, 2*minRefusedDelay)
	endpoint.refusedDelay = min(minRefusedDelay+p.draw(limit-minRefusedDelay), maxRefusedDelay)
	endpoint.connectAt = max(endpoint.connectAt, now+endpoint.refusedDelay)
}

// LocalError records that a dial failed because of an error on this machine, which says nothing about the cache.
// Preconnect will return the cache again.
func (p *Plan) LocalError(name string) {
	if endpoint := p.find(name); endpoint != nil {
		endpoint.preconnected = false
	}
}
