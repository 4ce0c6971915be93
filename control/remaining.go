package control

// answersSeen is after how many answers of a class the quickest of them counts as known.
const minSamplesForFastest = initialSamples

// answered notes how long a good answer took.
func (class *classState) observeResponse(spent int64) {
	if class.fastestResponse == 0 || spent < class.fastestResponse {
		class.fastestResponse = spent
	}
}

// answerLeast is the least time in which an answer of a class can come: the shortest that one has taken; 0 while too few have
// come. A mean would turn away what a hit could answer in time.
func (class *classState) minResponseTime() int64 {
	if class.samples < initialSamples+minSamplesForFastest {
		return 0
	}
	return class.fastestResponse
}

// comesBack tells whether an attempt that begins now can still be answered in its client's time.
func (request *Request) canBeAnswered(now int64) bool {
	return now+request.class.minResponseTime() < request.Deadline
}

// hurried tells whether an attempt's time was up sooner than answers of its class take on the average: that none came, or that it
// was not on its way yet, says nothing of its cache, its source or the room. Caches may drop what has very little time left.
func (class *classState) timedOutEarly(attempt *attemptState, outcome Outcome) bool {
	timeUp := outcome.Result == TimedOut || outcome.Result == Unreachable && outcome.Elapsed >= attempt.sendTimeout
	return timeUp && float64(outcome.Elapsed)/1e9 < class.responseTime
}
