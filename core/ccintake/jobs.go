package ccintake

// Jobs is what one process knows of the memory that accepted jobs occupy at the leader. It decides whether another one is
// accepted, so that the leader, and whoever takes over from it, can hold them all.
type Jobs struct {
	// own is the memory of this process for jobs, limit the least one of the processes, 0 for no bound.
	own, limit int64
	// held is what jobs occupy at the leader, recent what those accepted here occupy that the leader may not count yet.
	held, recent int64
}

// NewJobs returns the knowledge of a process that has the given memory for jobs and has not heard of a leader.
func NewJobs(own int64) Jobs {
	return Jobs{own: own, limit: own}
}

// SetOwn changes the memory of this process for jobs.
func (j *Jobs) SetOwn(own int64) {
	j.own = own
	j.limit = least(own, j.limit)
}

// Learn records what the leader has told of the least memory for jobs, 0 for no bound, and of what they occupy.
func (j *Jobs) Learn(limit, held int64) {
	j.limit, j.held = least(j.own, limit), held
}

// Own returns the memory of this process for jobs.
func (j *Jobs) Own() int64 {
	return j.own
}

// Known returns what Learn has recorded.
func (j *Jobs) Known() (limit, held int64) {
	return j.limit, j.held
}

// Accept takes n bytes for a job, and reports false if there is no room. A large job leaves as much room as it takes; one
// that is alone is accepted whatever it takes. The caller calls Forget later.
func (j *Jobs) Accept(n int64) bool {
	if held := j.held + j.recent; n > 0 && j.limit > 0 && !fits(0, n, held, j.limit) {
		return false
	}
	j.recent += n
	return true
}

// Forget gives back what Accept has taken: the job was not accepted, or the leader counts it.
func (j *Jobs) Forget(n int64) {
	j.recent -= n
}

// least returns the smaller of two bounds, of which 0 is none.
func least(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}
