package downstream

import (
	"hash/maphash"
	"net"
	"time"

	"tealpath/internal/downstream/idle"

	"github.com/gaissmai/bart"
)

const (
	// firstRequestTimeout is how long a client may take to send a request after its connection was accepted or
	// resumed, if the client has had no response on it. That includes a client that has cancelled all its requests.
	firstRequestTimeout = 2 * time.Second

	// defaultIdleTimeout is how long a connection without requests is kept. Clients close their idle
	// connections after 4 s.
	defaultIdleTimeout = 10 * time.Second
)

// MaxIdleBeforeFirstRequest is the timeout, in ns, after which idle.Table expires a connection that has had no
// request. It matters only for suspended connections: an active one is closed by its reader well before that,
// even if it lingers.
const MaxIdleBeforeFirstRequest = int64(2*firstRequestTimeout + lingerTimeout)

// NetworkPolicies holds the policies for connections by the network of the client.
type NetworkPolicies struct {
	Policies  []idle.Policy       // the first policy applies to clients outside all networks of ByAddress
	ByAddress *bart.Table[uint16] // index in Policies for each network; nil: the first policy applies to all clients
}

// defaultPolicies returns a policy with the default timeouts and without limits for clients or networks.
func defaultPolicies() *NetworkPolicies {
	return &NetworkPolicies{Policies: []idle.Policy{{
		FirstRequestTimeout: MaxIdleBeforeFirstRequest,
		IdleTimeout:         int64(defaultIdleTimeout),
	}}}
}

var addressSeed = maphash.MakeSeed()

// find returns a hash that identifies the client with the address, and the index of the policy for it. Both are 0 for
// an address that is not a TCP address.
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
