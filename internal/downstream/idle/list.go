package idle

// list holds the connections of one network that are in the same state, in the order in which they entered
// that state. It is doubly linked through the prev and next fields of the entries.
type list struct{ first, last ID }

// emptyList is a list without connections. The zero value of list is not empty, because 0 is a valid ID.
var emptyList = list{first: None, last: None}

// link appends a connection to the list of its network and the given state, and sets the state.
func (t *Table) link(id ID, state State) {
	linked := &t.entries[id]
	list := &t.lists[linked.network][state]
	linked.state = state
	linked.prev = list.last
	linked.next = None
	if list.last == None {
		list.first = id
	} else {
		t.entries[list.last].next = id
	}
	list.last = id
	t.stateCounts[state]++
}

// unlink removes a connection from the list of its network and state.
func (t *Table) unlink(id ID) {
	unlinked := &t.entries[id]
	list := &t.lists[unlinked.network][unlinked.state]
	if unlinked.prev == None {
		list.first = unlinked.next
	} else {
		t.entries[unlinked.prev].next = unlinked.next
	}
	if unlinked.next == None {
		list.last = unlinked.prev
	} else {
		t.entries[unlinked.next].prev = unlinked.prev
	}
	t.stateCounts[unlinked.state]--
}

// oldest returns the connection, of any network, that has been in the given state longest, or None if no connection is
// in it.
func (t *Table) oldest(state State) ID {
	oldest := None
	for network := range t.lists {
		first := t.lists[network][state].first
		if first == None {
			continue
		}
		if oldest == None || t.entries[first].stateSince < t.entries[oldest].stateSince {
			oldest = first
		}
	}
	return oldest
}
