package connpool

const (
	// Requests are sent on a connection outside the subset for outsideSendDuration. It is open for
	// maxOutsideDuration at most, with dialling and the requests that are in flight at its end.
	outsideSendDuration = second
	maxOutsideDuration  = outsideSendDuration + outsideSendDuration/2

	// Delays before a cache that refused a connection is dialled again, by decorrelated jitter (Brooker,
	// "Exponential Backoff And Jitter", 2015), as in internal/lifecycle/startup: the next is drawn from up to
	// backoffGrowth times the last.
	minRefusedDelay = 250 * millisecond
	maxRefusedDelay = 8 * second
	backoffGrowth   = 3

	// idleTimeout is how long a connection beyond the router's share may be idle before it is closed.
	idleTimeout = 500 * millisecond

	// minConnectDelay is the least time between two connections to one cache, so that two events at one instant
	// open one.
	minConnectDelay = millisecond
)

// connectDelay returns how long all routers take to open a connection each to a cache.
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

// CanConnect reports whether one more connection to a cache may be opened beside the open ones. A cache that
// the plan does not have is not bounded by it.
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

// CanSend reports whether another request may be sent on an open connection. One outside the subset is given up
// in time for other routers.
func (p *Plan) CanSend(now int64, name string) bool {
	endpoint := p.find(name)
	return endpoint == nil || endpoint.inSubset || now < endpoint.sendUntil
}

// ShouldClose reports whether an idle connection is to be closed before its usual time, with so many open to
// its cache. That is one outside the subset, or one beyond the router's share of the connections that the cache
// accepts.
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

// Preconnect returns the caches of the subset that are to be connected to now, before there is a request for
// them, in the order of preference. It returns some only where a rate bounds connecting, since there a first
// request would have to wait.
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

// Dialled notes that a connection is being opened.
func (p *Plan) Dialled(now int64, name string) {
	endpoint := p.find(name)
	if endpoint == nil {
		return
	}
	delay := p.connectDelay(endpoint)
	// From half to one and a half times the delay, so that routers that connected together do not do so the
	// next time.
	endpoint.connectAt = now + max(minConnectDelay, delay/2+p.draw(delay))
	if !endpoint.inSubset {
		endpoint.sendUntil = now + outsideSendDuration
		endpoint.connectAt = now + delay + p.draw(delay) // never sooner than the mean, since the sum is bounded
	}
}

// Established notes that a connection was established.
func (p *Plan) Established(name string) {
	if endpoint := p.find(name); endpoint != nil {
		endpoint.refusedDelay = 0
	}
}

// Disconnected notes that an established connection ended, without the router having closed it. If the cache
// crashed, the connections of all routers ended at once, so that they reconnect spread over time.
func (p *Plan) Disconnected(now int64, name string) {
	endpoint := p.find(name)
	if endpoint == nil {
		return
	}
	endpoint.preconnected = false
	endpoint.connectAt = max(endpoint.connectAt, now+p.draw(p.connectDelay(endpoint)))
}

// ConnectFailed notes that a connection could not be established because of the cache. It may be full, with
// connections of more routers than the settings say.
func (p *Plan) ConnectFailed(now int64, name string) {
	endpoint := p.find(name)
	if endpoint == nil {
		return
	}
	limit := max(backoffGrowth*endpoint.refusedDelay, 2*minRefusedDelay)
	endpoint.refusedDelay = min(minRefusedDelay+p.draw(limit-minRefusedDelay), maxRefusedDelay)
	endpoint.connectAt = max(endpoint.connectAt, now+endpoint.refusedDelay)
}

// LocalError notes that this machine could not dial, which says nothing of the cache. Preconnect returns the
// cache again.
func (p *Plan) LocalError(name string) {
	if endpoint := p.find(name); endpoint != nil {
		endpoint.preconnected = false
	}
}
