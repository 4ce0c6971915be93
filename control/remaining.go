package control

// answersSeen is after how many answers of a class the quickest of them counts as known.
const answersSeen = seenFirst

// answered notes how long a good answer took.
func (p *product) answered(spent int64) {
	if p.quickest == 0 || spent < p.quickest {
		p.quickest = spent
	}
}

// answerLeast is the least time in which an answer of a class can come: the shortest that one has taken; 0 while too few have
// come. A mean would turn away what a hit could answer in time.
func (p *product) answerLeast() int64 {
	if p.seen < seenFirst+answersSeen {
		return 0
	}
	return p.quickest
}

// comesBack tells whether an attempt that begins now can still be answered in its client's time.
func (t *Request) comesBack(now int64) bool { return now+t.product.answerLeast() < t.Deadline }

// hurried tells whether an attempt's time was up sooner than answers of its class take on the average: that none came, or that it
// was not on its way yet, says nothing of its cache, its source or the room. Caches may drop what has very little time left.
func (p *product) hurried(d *dispatch, o Outcome) bool {
	timeUp := o.Result == TimedOut || o.Result == Unreachable && o.Elapsed >= d.reach
	return timeUp && float64(o.Elapsed)/1e9 < p.answer
}
