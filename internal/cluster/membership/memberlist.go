package membership

import (
	"maps"
	"slices"
)

// memberList is the members that are known, but for the own instance.
type memberList struct {
	byName     map[string]*record
	generation uint64   // grows with each name that comes or goes
	names      []string // sorted, as of namesAt
	namesAt    uint64   // generation
	forgotAt   int64    // when members that are long gone were last dropped
}

func newMemberList() memberList { return memberList{byName: map[string]*record{}} }

// add adds a member in the state Unheard.
func (list *memberList) add(now int64, name string) *record {
	member := newRecord(now, name)
	list.byName[name] = member
	list.generation++
	return member
}

// remove drops a member.
func (list *memberList) remove(member *record) {
	delete(list.byName, member.Name)
	list.generation++
}

// sortedNames is the name of every member; the slice is not changed later.
func (list *memberList) sortedNames() []string {
	if len(list.names) != len(list.byName) || list.namesAt != list.generation {
		list.names, list.namesAt = slices.Sorted(maps.Keys(list.byName)), list.generation
	}
	return list.names
}
