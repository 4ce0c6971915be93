package membership

// localHealth measures how reliably this instance runs, as in Lifeguard: one that runs late may take others for silent
// by its own fault.
type localHealth struct {
	score    int   // from 0 (healthy) to maxLocalHealth
	tickedAt int64 // when the last tick was
	away     int64 // length of the last pause of a heartbeat interval or more, ns; 0: there was none
	cutOff   bool  // at least minWatched neighbours are watched, and all are silent
}

// recordTick records a tick at now that was due at due. If the tick is late by more than interval/lateDivisor, the
// score gets worse by one point. wasAway reports whether it is late by interval or more.
func (health *localHealth) recordTick(now, due, interval int64) (wasAway bool) {
	late := now - max(health.tickedAt, due)
	health.tickedAt = now
	if late <= interval/lateDivisor {
		return false
	}
	health.score = min(health.score+1, maxLocalHealth)
	if late < interval {
		return false
	}
	health.away = late
	return true
}

// improve lowers the score by one point, to 0 at the least.
func (health *localHealth) improve() { health.score = max(health.score-1, 0) }

// lengthen returns the timeout plus timeout/healthDivisor for each point of the score.
func (health *localHealth) lengthen(timeout int64) int64 {
	return timeout + timeout*int64(health.score)/healthDivisor
}
