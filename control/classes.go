package control

import "cmp"

const (
	// initialSamples is the weight, in responses, that a class's means give to their initial values. These are derived
	// from the latency objective.
	initialSamples = 10.

	// maxSamples is the number of responses from which on a class's means are exponential moving averages, in which
	// each new response has the weight 1/maxSamples.
	maxSamples = 200.

	// minSamplesForFastest is the number of responses of a class after which the fastest of them counts as the
	// class's minimum response time.
	minSamplesForFastest = initialSamples

	minSendingTime         = 1e-3 // s; lower bound of a class's initial mean sending time
	minSlowestResponseTime = 0.01 // s; lower bound of slowestResponseTime, which waits are divided by
	minWeight              = 0.01 // lower bound of maxWeight, which weights are divided by
)

// classState holds a class's settings and what was learned from its responses.
type classState struct {
	ClassSettings
	sendingTime     float64      // s; mean sending time of the class's responses
	responseTime    float64      // s; mean time until a successful response
	samples         float64      // weight of the means, in responses; at most maxSamples
	fastestResponse int64        // ns; the shortest response time of a success; 0: no response yet
	offered         decayingWork // s of sending time; work of all requests, admitted or not
	admitted        decayingWork // s of sending time; work of the requests that were sent to a cache
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

// observeResponse updates the mean and the shortest response time of a class after a successful attempt, which took
// elapsed ns.
func (class *classState) observeResponse(elapsed int64) {
	if class.fastestResponse == 0 || elapsed < class.fastestResponse {
		class.fastestResponse = elapsed
	}
	class.samples = min(class.samples+1, maxSamples)
	class.responseTime += (float64(elapsed)/1e9 - class.responseTime) / class.samples
}

// observeSendingTime updates the mean sending time, in s. For each response it must be called after observeResponse,
// because that method counts the sample.
func (class *classState) observeSendingTime(sendingTime float64) {
	class.sendingTime += (sendingTime - class.sendingTime) / class.samples
}

// minResponseTime returns the shortest response time of a class in ns, or 0 before minSamplesForFastest responses. If
// it returned the mean, the router would reject requests that a cache could still serve in time with a hit.
func (class *classState) minResponseTime() int64 {
	if class.samples < initialSamples+minSamplesForFastest {
		return 0
	}
	return class.fastestResponse
}

// timedOutEarly reports whether an attempt ran out of time sooner than responses of its class take on average. Then
// neither a missing response nor a connection that was not yet established says anything about the cache, the
// source or the admission limits. Caches may drop requests that have very little time left.
func (class *classState) timedOutEarly(attempt *attemptState, outcome Outcome) bool {
	timeUp := outcome.Result == TimedOut || outcome.Result == Unreachable && outcome.Elapsed >= attempt.sendTimeout
	return timeUp && float64(outcome.Elapsed)/1e9 < class.responseTime
}

// delayTolerance returns how many times its sending time a response of a class may take and still be in time.
func (class *classState) delayTolerance() float64 {
	return class.ObjectiveStretch + float64(class.LatencyObjective)/1e9/class.sendingTime
}

// canBeAnswered reports whether an attempt that starts now can still get a response before the request's deadline.
func (request *Request) canBeAnswered(now int64) bool {
	return now+request.class.minResponseTime() < request.Deadline
}

// maxWeight returns the largest priority weight of all classes, but at least minWeight.
func (r *Router) maxWeight() float64 {
	largest := minWeight
	for _, class := range r.classes {
		largest = max(largest, class.PriorityWeight)
	}
	return largest
}

// sendingTimeBySize returns the time in s that it takes to send the response to a client, or 0 if its size is not
// known.
func (r *Router) sendingTimeBySize(request *Request) float64 {
	return request.SizeKB / r.settings.ClientKBPerSecond
}

// objectiveFor returns the time in ns within which a request that is sent now must get its response to be in time.
// sendingTime is the sending time of the response in s; 0 stands for the mean of the class.
func (r *Router) objectiveFor(request *Request, sendingTime float64) int64 {
	class := request.class
	return class.LatencyObjective + int64(class.ObjectiveStretch*1e9*cmp.Or(sendingTime, class.sendingTime))
}

// sendingTime returns how long the response to a request occupies the link of an endpoint, in s: the mean of its
// class, or the time derived from its size if that is longer.
func (r *Router) sendingTime(request *Request) float64 {
	return max(request.class.sendingTime, r.sendingTimeBySize(request))
}
