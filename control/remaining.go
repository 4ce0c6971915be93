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
func (t *Retrieval) comesBack(now int64) bool { return now+t.product.answerLeast() < t.HardStop }

// shortOf tells whether an attempt got less time than answers of its class take on the average: that none came says nothing of
// its cache, its source or the room. Caches may drop what has very little time left.
func (p *product) shortOf(spent int64) bool { return float64(spent)/1e9 < p.answer }
