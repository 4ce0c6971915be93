package membership

// localHealth is how an instance judges itself, as in Lifeguard: what an instance that is late holds against
// others may be its own fault.
type localHealth struct {
	points   int   // from 0, well, to maxLocalHealth
	tickedAt int64 // when the last step was made
	away     int64 // for how long the instance last did nothing, ns; 0 is never
	cutOff   bool  // nothing is heard from any neighbour
}

// noteStep adds a point for a step that comes late. It reports whether the instance was away: late by an
// interval or more.
func (health *localHealth) noteStep(now, due, interval int64) (wasAway bool) {
	late := now - max(health.tickedAt, due)
	health.tickedAt = now
	if late <= interval/latePart {
		return false
	}
	health.points = min(health.points+1, maxLocalHealth)
	if late < interval {
		return false
	}
	health.away = late
	return true
}

// improve takes a point back.
func (health *localHealth) improve() { health.points = max(health.points-1, 0) }

// lengthen is a timeout as it counts here: each point makes it longer by one part in healthPart.
func (health *localHealth) lengthen(timeout int64) int64 {
	return timeout + timeout*int64(health.points)/healthPart
}
