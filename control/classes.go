package control

import "cmp"

const (
	// initialSamples is how many answers the initial means of a class, which follow from its objective, count
	// as.
	initialSamples = 10.

	// maxSamples bounds the weight of the past in a class's means: from so many answers on they are exponential
	// averages.
	maxSamples = 200.

	// minSamplesForFastest is how many answers of a class are needed before the fastest of them is taken for
	// its minimum.
	minSamplesForFastest = initialSamples

	minSendingTime  = 1e-3 // s; lower bound of the initial mean
	minResponseTime = 0.01 // s; lower bound of the longest mean, which silence is measured in
	minWeight       = 0.01 // lower bound of the largest weight, which others are divided by
)

// classState is a class with what is learned from its answers.
type classState struct {
	ClassSettings
	sendingTime     float64      // s; mean
	responseTime    float64      // s; mean
	samples         float64      // answers that the means count for, up to maxSamples
	fastestResponse int64        // ns; the shortest time of a successful answer; 0 before the first
	offered         decayingWork // of all requests
	admitted        decayingWork // of requests that were sent to a cache
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

// observeResponse learns from the time that a successful answer took, ns.
func (class *classState) observeResponse(elapsed int64) {
	if class.fastestResponse == 0 || elapsed < class.fastestResponse {
		class.fastestResponse = elapsed
	}
	class.samples = min(class.samples+1, maxSamples)
	class.responseTime += (float64(elapsed)/1e9 - class.responseTime) / class.samples
}

// observeSendingTime learns from the sending time, in s, of the answer that observeResponse was called with
// last.
func (class *classState) observeSendingTime(sendingTime float64) {
	class.sendingTime += (sendingTime - class.sendingTime) / class.samples
}

// minResponseTime returns the shortest time in which an answer of a class can come, in ns: the shortest that
// one took so far, or 0 while there were too few. It is no mean, by which requests that a hit could still
// answer would be rejected.
func (class *classState) minResponseTime() int64 {
	if class.samples < initialSamples+minSamplesForFastest {
		return 0
	}
	return class.fastestResponse
}

// timedOutEarly reports whether an attempt's time was up sooner than answers of its class take on average. Then
// neither a missing answer nor a connection that was not up yet says anything about the cache, the source or
// the limits. Caches may drop what has very little time left.
func (class *classState) timedOutEarly(attempt *attemptState, outcome Outcome) bool {
	timeUp := outcome.Result == TimedOut || outcome.Result == Unreachable && outcome.Elapsed >= attempt.sendTimeout
	return timeUp && float64(outcome.Elapsed)/1e9 < class.responseTime
}

// delayTolerance returns how many times its sending time an answer of a class may take and still be in time.
func (class *classState) delayTolerance() float64 {
	return class.ObjectiveStretch + float64(class.LatencyObjective)/1e9/class.sendingTime
}

// canBeAnswered reports whether an attempt that starts now can still be answered before the request's deadline.
func (request *Request) canBeAnswered(now int64) bool {
	return now+request.class.minResponseTime() < request.Deadline
}

// maxWeight returns the largest priority weight of a class.
func (r *Router) maxWeight() float64 {
	largest := minWeight
	for _, class := range r.classes {
		largest = max(largest, class.PriorityWeight)
	}
	return largest
}

// sendingTimeBySize returns the time that it takes to send the answer to a client, in s, or 0 where its size is
// not known.
func (r *Router) sendingTimeBySize(request *Request) float64 {
	return request.SizeKB / r.settings.ClientKBPerSecond
}

// objectiveFor returns how long after its sending a request has to be answered to be in time, in ns.
// sendingTime is that of its answer, in s; 0 stands for the mean of its class.
func (r *Router) objectiveFor(request *Request, sendingTime float64) int64 {
	class := request.class
	return class.LatencyObjective + int64(class.ObjectiveStretch*1e9*cmp.Or(sendingTime, class.sendingTime))
}

// sendingTime returns how long the answer to a request occupies the link of an endpoint, in s: the mean of its
// class, or more if its size says so.
func (r *Router) sendingTime(request *Request) float64 {
	return max(request.class.sendingTime, r.sendingTimeBySize(request))
}
