package control

import "cmp"

const (
	initialSamples       = 10.            // answers that a class's first means, drawn from its objective, count for
	maxSamples           = 200.           // answers that the means go over
	minSamplesForFastest = initialSamples // answers of a class after which the fastest of them counts as known
	minSendingTime       = 1e-3           // s; the first mean is no less
	minResponseTime      = 0.01           // s; the longest mean counts for no less
	minWeight            = 0.01           // the largest weight counts for no less
)

// classState is one class with what its answers told.
type classState struct {
	ClassSettings
	sendingTime     float64      // s; mean
	responseTime    float64      // s; mean
	samples         float64      // answers that the means count for
	fastestResponse int64        // ns; the least time that a good answer took; 0: none has come
	offered         decayingWork // what was asked for
	admitted        decayingWork // what was sent on
}

func newClassState(settings ClassSettings) *classState {
	objective := float64(settings.LatencyObjective) / 1e9
	return &classState{
		ClassSettings: settings,
		sendingTime:   max(objective, minSendingTime),
		responseTime:  objective,
		samples:       initialSamples,
	}
}

// observeResponse notes how long a good answer took, ns.
func (class *classState) observeResponse(elapsed int64) {
	if class.fastestResponse == 0 || elapsed < class.fastestResponse {
		class.fastestResponse = elapsed
	}
	class.samples = min(class.samples+1, maxSamples)
	class.responseTime += (float64(elapsed)/1e9 - class.responseTime) / class.samples
}

// observeSendingTime notes the sending time, s, of the answer that was observed last.
func (class *classState) observeSendingTime(sendingTime float64) {
	class.sendingTime += (sendingTime - class.sendingTime) / class.samples
}

// minResponseTime is the least time in which an answer of a class can come, ns: the shortest that one has taken; 0 while too
// few have come. A mean would turn away what a hit could answer in time.
func (class *classState) minResponseTime() int64 {
	if class.samples < initialSamples+minSamplesForFastest {
		return 0
	}
	return class.fastestResponse
}

// timedOutEarly tells whether an attempt's time was up sooner than answers of its class take on the average: that none came, or
// that it was not on its way yet, says nothing of its cache, its source or the limits. Caches may drop what has very little time
// left.
func (class *classState) timedOutEarly(attempt *attemptState, outcome Outcome) bool {
	timeUp := outcome.Result == TimedOut || outcome.Result == Unreachable && outcome.Elapsed >= attempt.sendTimeout
	return timeUp && float64(outcome.Elapsed)/1e9 < class.responseTime
}

// delayTolerance is how many times longer than its sending time an answer of a class may take and still be in time.
func (class *classState) delayTolerance() float64 {
	return class.ObjectiveStretch + float64(class.LatencyObjective)/1e9/class.sendingTime
}

// canBeAnswered tells whether an attempt that begins now can still be answered in its client's time.
func (request *Request) canBeAnswered(now int64) bool {
	return now+request.class.minResponseTime() < request.Deadline
}

// maxWeight is the largest priority weight of a class.
func (r *Router) maxWeight() float64 {
	most := minWeight
	for _, class := range r.classes {
		most = max(most, class.PriorityWeight)
	}
	return most
}

// knownSendingTime is a request's own sending time, s, where sizes are told, else 0.
func (r *Router) knownSendingTime(request *Request) float64 {
	return request.SizeKB / r.settings.ClientKBPerSecond
}

// objectiveFor is how long after its sending an answer is in time, ns, by its own sending time, s, or with 0 by the class's mean.
func (r *Router) objectiveFor(request *Request, sendingTime float64) int64 {
	class := request.class
	return class.LatencyObjective + int64(class.ObjectiveStretch*1e9*cmp.Or(sendingTime, class.sendingTime))
}

// sendingTime is what a request costs an endpoint's link, s.
func (r *Router) sendingTime(request *Request) float64 {
	return max(request.class.sendingTime, r.knownSendingTime(request))
}
