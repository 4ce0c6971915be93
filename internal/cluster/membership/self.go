package membership

// selfState is what a table knows about its own instance.
type selfState struct {
	entry             Entry
	raisedAt          int64             // when the version of entry was last raised
	otherIncarnations incarnations      // other incarnations seen under this instance's name
	accusedVersions   map[string]uint64 // by observer: 1 + the version of this instance that it reports
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

// raise increments the entry's version, so that the entry outranks those that were passed on before.
func (own *selfState) raise(now int64) {
	own.entry.Version++
	own.raisedAt = now
}

// isDuplicated reports whether another incarnation under this instance's name was seen within the last timeout ns.
func (own *selfState) isDuplicated(now, timeout int64) bool {
	for _, at := range own.otherIncarnations {
		if now-at <= timeout {
			return true
		}
	}
	return false
}

// recordAccusation records a report about the present version of this instance, and returns how many observers now
// report that version. A report of the kind Healthy withdraws the observer's earlier one.
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
