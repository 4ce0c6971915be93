package membership

// localHealth is an instance's measure of its own health, as in Lifeguard: an instance that runs late may take
// others for silent through its own fault.
type localHealth struct {
	score    int   // from 0 (healthy) to maxLocalHealth
	tickedAt int64 // time of the last tick
	away     int64 // how late the tick after the last absence was, ns; 0: never away
	cutOff   bool  // no heartbeats arrive from any watched neighbour
}

// recordTick worsens the score if the tick is late. It reports whether the instance was away: late by an interval
// or more.
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

// improve lowers the score by one point.
func (health *localHealth) improve() { health.score = max(health.score-1, 0) }

// lengthen returns a timeout lengthened by timeout/healthDivisor for each point of the score.
func (health *localHealth) lengthen(timeout int64) int64 {
	return timeout + timeout*int64(health.score)/healthDivisor
}
