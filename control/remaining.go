package control

// answersSeen is after how many answers of a class the quickest of them counts as known.
const minSamplesForFastest = initialSamples

// answered notes how long a good answer took.
func (p *classState) observeResponse(spent int64) {
	if p.fastestResponse == 0 || spent < p.fastestResponse {
		p.fastestResponse = spent
	}
}

// answerLeast is the least time in which an answer of a class can come: the shortest that one has taken; 0 while too few have
// come. A mean would turn away what a hit could answer in time.
func (p *classState) minResponseTime() int64 {
	if p.samples < initialSamples+minSamplesForFastest {
		return 0
	}
	return p.fastestResponse
}

// comesBack tells whether an attempt that begins now can still be answered in its client's time.
func (t *Request) canBeAnswered(now int64) bool { return now+t.class.minResponseTime() < t.Deadline }

// hurried tells whether an attempt's time was up sooner than answers of its class take on the average: that none came, or that it
// was not on its way yet, says nothing of its cache, its source or the room. Caches may drop what has very little time left.
func (p *classState) timedOutEarly(d *attemptState, o Outcome) bool {
	timeUp := o.Result == TimedOut || o.Result == Unreachable && o.Elapsed >= d.sendTimeout
	return timeUp && float64(o.Elapsed)/1e9 < p.responseTime
}
