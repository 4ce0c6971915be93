package membership

// selfState is what a table knows of its own instance.
type selfState struct {
	entry           Entry
	raisedAt        int64             // when the version of the entry was last raised
	starts          incarnations      // other starts under the own name
	accusedVersions map[string]uint64 // by observer: version of the entry, plus one, that it reported
}

func newSelfState(now int64, config Config) selfState {
	self := selfState{
		entry:           config.Self,
		raisedAt:        now - config.HeartbeatInterval,
		starts:          incarnations{},
		accusedVersions: map[string]uint64{},
	}
	self.entry.Start = max(1, self.entry.Start)
	return self
}

// raise makes the entry count before all that was said of it.
func (own *selfState) raise(now int64) {
	own.entry.Version++
	own.raisedAt = now
}

// isDuplicated reports whether another start under the own name was there within a timeout.
func (own *selfState) isDuplicated(now, timeout int64) bool {
	for _, at := range own.starts {
		if now-at <= timeout {
			return true
		}
	}
	return false
}

// noteAccusation notes an observer's report of the present version of the own entry, and returns how many
// report it. A report that all is well takes an earlier one back.
func (own *selfState) noteAccusation(report Report) (accusers int) {
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
