package membership

// selfState is a table's state of its own instance.
type selfState struct {
	entry             Entry
	raisedAt          int64             // when the version of the entry was last raised
	otherIncarnations incarnations      // seen under this instance's name
	accusedVersions   map[string]uint64 // by observer: the version of this instance that the observer reports, plus one
}

func newSelfState(now int64, config Config) selfState {
	self := selfState{
		entry:             config.Self,
		raisedAt:          now - config.HeartbeatInterval,
		otherIncarnations: incarnations{},
		accusedVersions:   map[string]uint64{},
	}
	self.entry.Start = max(1, self.entry.Start)
	return self
}

// raise raises the entry's version, so that it outranks earlier entries of this instance.
func (own *selfState) raise(now int64) {
	own.entry.Version++
	own.raisedAt = now
}

// isDuplicated reports whether another incarnation under this instance's name was seen within a timeout.
func (own *selfState) isDuplicated(now, timeout int64) bool {
	for _, at := range own.otherIncarnations {
		if now-at <= timeout {
			return true
		}
	}
	return false
}

// recordAccusation records an observer's report of the present version of this instance, and returns how many
// observers report that version. A Healthy report withdraws the observer's earlier one.
func (own *selfState) recordAccusation(report Report) (accusers int) {
	if report.Kind == Healthy {
		delete(own.accusedVersions, report.Observer)
	} else {
		own.accusedVersions[report.Observer] = report.Version + 1
	}
	for _, version := range own.accusedVersions {
		if version == own.entry.Version+1 {
			accusers++
		}
	}
	return accusers
}
