package router

import (
	"hash/fnv"
	"maps"
)

// Phases of an endpoint that are handled specially. No new attempt is sent to an endpoint in any phase other than
// phaseReady, for example one that is draining.
const (
	phaseReady = "ready"
	phaseGone  = "gone"
)

// endpoint is one instance in the endpoint list, with the connections to it.
type endpoint struct {
	EndpointEntry
	connections []*connection
	inPlan      bool // the endpoint was in the last list passed to the connection plan
}

func (e *endpoint) isReady() bool { return e.Phase == phaseReady }

// endpointTable is the endpoint list with indexes, so that a change does not need a loop over all endpoints.
type endpointTable struct {
	byName          map[string]*endpoint
	byID            map[uint32]*endpoint
	byAddress       map[string][]*endpoint
	gone            map[string]*endpoint // endpoints in phaseGone that still have connections, by name
	removed         []*endpoint          // endpoints removed since the last assignIDs; byID may still contain them
	displaced       int                  // number of endpoints whose ID is not the hash of their name
	planInitialized bool                 // SetEndpoints of the connection plan was called
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byName:    map[string]*endpoint{},
		byID:      map[uint32]*endpoint{},
		byAddress: map[string][]*endpoint{},
		gone:      map[string]*endpoint{},
	}
}

// entries returns the entries of all endpoints, ordered by name.
func (table *endpointTable) entries() []EndpointEntry {
	entries := make([]EndpointEntry, 0, len(table.byName))
	for _, name := range sortedKeys(table.byName) {
		entries = append(entries, table.byName[name].EndpointEntry)
	}
	return entries
}

// getOrAdd returns the endpoint with a name. If there is none, it adds one that has no entry and no ID yet.
func (table *endpointTable) getOrAdd(name string) (found *endpoint, added bool) {
	if found = table.byName[name]; found != nil {
		return found, false
	}
	found = &endpoint{}
	table.byName[name] = found
	return found, true
}

// setEntry replaces the entry of an endpoint, except for its ID.
func (table *endpointTable) setEntry(endpoint *endpoint, entry EndpointEntry) {
	entry.ID = endpoint.ID
	table.removeAddress(endpoint)
	endpoint.EndpointEntry = entry
	table.byAddress[entry.Address] = append(table.byAddress[entry.Address], endpoint)
}

// removeAddress removes an endpoint from byAddress. It must be called before the address of the endpoint changes.
func (table *endpointTable) removeAddress(endpoint *endpoint) {
	rest := without(table.byAddress[endpoint.Address], endpoint)
	table.byAddress[endpoint.Address] = rest
	if len(rest) == 0 {
		delete(table.byAddress, endpoint.Address)
	}
}

// updateGone adds the changed endpoints that are in phaseGone to the gone ones, and removes those that no longer are.
func (table *endpointTable) updateGone(changed endpointSet) {
	for name, endpoint := range changed {
		if endpoint.Phase == phaseGone {
			table.gone[name] = endpoint
		} else {
			delete(table.gone, name)
		}
	}
}

// remove removes an endpoint from the table, except for its ID, which the next assignIDs frees.
func (table *endpointTable) remove(name string) {
	endpoint := table.byName[name]
	delete(table.byName, name)
	delete(table.gone, name)
	table.removeAddress(endpoint)
	table.removed = append(table.removed, endpoint)
}

// assignIDs assigns an ID, by which the policy identifies the endpoint, to each new endpoint. It reports whether the
// IDs of other endpoints have changed. An ID is the hash of the instance's name, so that all routers use the same one
// and agree on which cache has an object. If two names have the same hash, the name that is later in alphabetical
// order gets the next free ID.
func (table *endpointTable) assignIDs(added bool, changed endpointSet) (reassigned bool) {
	removed := len(table.removed) > 0
	table.freeIDs()
	if table.displaced > 0 && (added || removed) {
		return table.reassignIDs()
	}
	if !added {
		return false
	}
	for name, endpoint := range changed {
		id := nameHash(name)
		switch table.byID[id] {
		case endpoint:
		case nil:
			endpoint.ID = id
			table.byID[id] = endpoint
		default:
			return table.reassignIDs()
		}
	}
	return false
}

// freeIDs frees the IDs of endpoints that were removed.
func (table *endpointTable) freeIDs() {
	for _, endpoint := range table.removed {
		if table.byID[endpoint.ID] == endpoint {
			delete(table.byID, endpoint.ID)
		}
	}
	table.removed = nil
}

// reassignIDs assigns the IDs of all endpoints again, in the order of their names, and reports whether the ID of an
// endpoint that had one has changed.
func (table *endpointTable) reassignIDs() (reassigned bool) {
	before := maps.Clone(table.byID)
	clear(table.byID)
	table.displaced = 0
	for _, name := range sortedKeys(table.byName) {
		endpoint, id := table.byName[name], nameHash(name)
		if table.byID[id] != nil {
			table.displaced++
		}
		for table.byID[id] != nil {
			id++
		}
		hadID := before[endpoint.ID] == endpoint
		reassigned = reassigned || hadID && endpoint.ID != id
		endpoint.ID = id
		table.byID[id] = endpoint
	}
	return reassigned
}

// nameHash returns the hash of an instance's name, which is its ID unless another name has the same hash.
func nameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}
