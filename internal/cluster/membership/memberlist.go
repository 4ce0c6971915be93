package membership

import (
	"maps"
	"slices"
)

// memberList holds the known members, without this instance.
type memberList struct {
	byName     map[string]*record
	generation uint64   // increases with each name that is added or removed
	names      []string // sorted, as of the generation namesAt
	namesAt    uint64
	forgotAt   int64 // when Table.forget last dropped members
}

func newMemberList() memberList { return memberList{byName: map[string]*record{}} }

// add adds a member in the state Unheard.
func (list *memberList) add(now int64, name string) *record {
	member := newRecord(now, name)
	list.byName[name] = member
	list.generation++
	return member
}

// remove deletes a member and increments generation.
func (list *memberList) remove(member *record) {
	delete(list.byName, member.Name)
	list.generation++
}

// sortedNames returns the names of all members. The returned slice is never modified.
func (list *memberList) sortedNames() []string {
	if len(list.names) != len(list.byName) || list.namesAt != list.generation {
		list.names, list.namesAt = slices.Sorted(maps.Keys(list.byName)), list.generation
	}
	return list.names
}
