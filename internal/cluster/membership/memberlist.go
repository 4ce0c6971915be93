package membership

import (
	"maps"
	"slices"
)

// memberList holds the known members. This instance is not one of them.
type memberList struct {
	byName     map[string]*record
	generation uint64   // incremented when a name is added or removed
	names      []string // all names, sorted, as they were at the generation namesAt
	namesAt    uint64
	forgotAt   int64 // when Table.forget last ran
}

func newMemberList() memberList { return memberList{byName: map[string]*record{}} }

// add adds a member under a name, in the state Unheard, and returns it.
func (list *memberList) add(now int64, name string) *record {
	member := newRecord(now, name)
	list.byName[name] = member
	list.generation++
	return member
}

// remove removes a member from the list.
func (list *memberList) remove(member *record) {
	delete(list.byName, member.Name)
	list.generation++
}

// sortedNames returns the names of all members in sorted order. The caller must not modify the slice; it stays as it
// is when members are added or removed.
func (list *memberList) sortedNames() []string {
	if len(list.names) != len(list.byName) || list.namesAt != list.generation {
		list.names, list.namesAt = slices.Sorted(maps.Keys(list.byName)), list.generation
	}
	return list.names
}
