package downstream

import (
	"hash/maphash"
	"net"
	"time"

	"tealpath/internal/downstream/idle"

	"github.com/gaissmai/bart"
)

const (
	// firstRequestTimeout is for how long a client that has connected, or has cancelled all its requests,
	// may go on without one in flight or answered.
	firstRequestTimeout = 2 * time.Second

	// defaultIdleTimeout is for how long a connection without requests is kept. Clients close theirs after 4 s.
	defaultIdleTimeout = 10 * time.Second
)

// MaxIdleBeforeFirstRequest is the table's timeout for a connection without a request, ns. An active
// connection is closed by its reader well before that, and may linger; the timeout is for those that are
// suspended.
const MaxIdleBeforeFirstRequest = int64(2*firstRequestTimeout + lingerTimeout)

// NetworkPolicies says how connections are kept, by the network of their client.
type NetworkPolicies struct {
	Policies  []idle.Policy       // the first is for clients in no network of ByAddress
	ByAddress *bart.Table[uint16] // index in Policies; nil: no networks
}

// defaultPolicies returns the platform's timeouts, without limits for clients or networks.
func defaultPolicies() *NetworkPolicies {
	return &NetworkPolicies{Policies: []idle.Policy{{
		FirstRequestTimeout: MaxIdleBeforeFirstRequest,
		IdleTimeout:         int64(defaultIdleTimeout),
	}}}
}

var addressSeed = maphash.MakeSeed()

// find returns a hash that tells a client's address from others, and the index of its policy.
func (p *NetworkPolicies) find(address net.Addr) (client uint64, policy uint16) {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return 0, 0
	}
	ip := tcp.AddrPort().Addr().Unmap()
	if p.ByAddress != nil {
		policy, _ = p.ByAddress.Lookup(ip)
	}
	bytes := ip.As16()
	return maphash.Bytes(addressSeed, bytes[:]), policy
}
