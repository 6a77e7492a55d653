package ccsuccession

const (
	// slowWorkMs is the time, as work of a VM at its normal pace, for which the leader has to be slow before it hands
	// over: the slower it is, the faster its queues grow.
	slowWorkMs float64 = 600
	// minSlowMs is the least time for which the leader has to be slow. Several measurements in a row show that it is not
	// a single interruption.
	minSlowMs ms = 150
	// lagFrom is the delay of the leader's loop from which the leader counts as overloaded. It is a seventh of the
	// authority that a confirmation gives, and a quarter of the time for which followers wait for a reply.
	lagFrom ms = 100
	// lagForMs is the time for which the leader has to be overloaded before it hands over. A burst or a takeover keeps
	// it busy for less.
	lagForMs ms = 1500
	// minGain is how many times more processor time than the leader a successor must have just now.
	minGain = 2.0
	// minShare is the share of the leader's normal processor time that a successor should have: it has to carry the lead.
	minShare = 0.5
	// largeForMs is the time for which only processes with minShare are accepted, and homeForMs the time for which only
	// those in the leader's region are: a leader in another region is further from the store, also later.
	largeForMs ms = 400
	homeForMs  ms = 1500
	// minTermMs is the age of a term from which the leader hands over, and busyTermMs the age while leaders have changed
	// too often.
	minTermMs  ms = 500
	busyTermMs ms = 5000
)

// State is what a leader knows of itself when it decides whether to hand over.
type State struct {
	Region string
	// Cores is the processor time that the leader has normally, in cores.
	Cores float64
	// Slowness is Pace.Slowness, and Lag is Lag.Ms.
	Slowness float64
	Lag      ms
	// AgeMs is the time since the term began.
	AgeMs ms
	// Settled is true once the handover to this leader is complete and its voters are recorded, so that a successor need
	// not wait for anything but the end of this term.
	Settled bool
	// StoreReached is true if the last calls to the store have succeeded: a successor needs the store.
	StoreReached bool
	// Patience is Terms.Patience.
	Patience ms
}

// Offer describes the process to which a leader hands over: the first one to call that fits. Its call shows that it
// answers well, and a leader that is slow reads that call before any other reply.
type Offer struct {
	// Region is where the successor has to be, "" for anywhere.
	Region string
	// Cores is the least processor time that it must have just now, in cores.
	Cores float64
	// Since is when the leader turned slow. VMs may turn slow together, so earlier reports don't count.
	Since ms
	// Widened is how often the offer was widened because no process fitted.
	Widened int
}

// Accepts reports whether a process may take over.
func (o *Offer) Accepts(c *Candidate) bool {
	return !c.Demoted && c.Slowness < SlowFrom && c.capacity() >= o.Cores && c.ReportedAt >= o.Since && (o.Region == "" || c.Region == o.Region)
}

// Resignation decides whether a leader hands over because it is slow. The zero value is for a new term.
type Resignation struct {
	slowSince, lagSince, offeredAt ms
}

// Offer returns whom the leader hands over to, nil while it stays.
func (r *Resignation) Offer(s *State, now ms) *Offer {
	slowFor := runningFor(&r.slowSince, s.Slowness >= SlowFrom, now)
	lagFor := runningFor(&r.lagSince, s.Lag >= lagFrom, now)
	minAge := minTermMs
	if s.Patience > 0 {
		minAge = busyTermMs
	}
	slow := slowFor >= max(minSlowMs, ms(slowWorkMs/max(s.Slowness, 1)))
	if !slow && lagFor < lagForMs || !s.Settled || !s.StoreReached || s.AgeMs < minAge {
		r.offeredAt = 0
		return nil
	}
	if r.offeredAt == 0 {
		r.offeredAt = now
	}
	self := Candidate{Cores: s.Cores, Slowness: s.Slowness}
	o := &Offer{Region: s.Region, Cores: max(minShare*s.Cores, minGain*self.capacity()), Since: r.slowSince}
	if now-r.offeredAt >= largeForMs {
		o.Cores, o.Widened = minGain*self.capacity(), 1
	}
	if now-r.offeredAt >= homeForMs {
		o.Region, o.Widened = "", 2
	}
	return o
}

// runningFor returns for how long something is the case, -1 if it is not. since holds when it began, 0 if it is not.
func runningFor(since *ms, is bool, now ms) ms {
	if !is {
		*since = 0
		return -1
	}
	if *since == 0 {
		*since = now
	}
	return now - *since
}
