package downstream

import (
	"hash/maphash"
	"net"
	"time"

	"tealpath/internal/downstream/idle"

	"github.com/gaissmai/bart"
)

const (
	// firstRequestTimeout is the time within which a client must send its first request after its connection was
	// accepted or resumed. It also applies to a client that has had no response because it has cancelled all its
	// requests.
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
	Policies  []idle.Policy       // the first one applies to clients outside all networks of ByAddress
	ByAddress *bart.Table[uint16] // indexes in Policies by network; nil: no networks
}

// defaultPolicies returns a policy with the default timeouts and without limits for clients or networks.
func defaultPolicies() *NetworkPolicies {
	return &NetworkPolicies{Policies: []idle.Policy{{
		FirstRequestTimeout: MaxIdleBeforeFirstRequest,
		IdleTimeout:         int64(defaultIdleTimeout),
	}}}
}

var addressSeed = maphash.MakeSeed()

// find returns a hash of a client's address, which identifies the client, and the index of its policy.
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
