package cccell

// Early completions. Load: the store is down, and jobs complete. Their callers wait, but the final states can't be
// written. A completed job is published before it is written once a majority of the voters knows that it has completed:
// the next leader learns it from them, so that it neither takes the state back nor runs a task again. The workers list
// the ends until the state is written, so that a loss of the voters alone does no harm either.

// maxEarlyAfterMs is the age of an unwritten completion from which it is published early, however slow the store usually
// is.
const maxEarlyAfterMs ms = 300

// SetEarlyAfter sets the age of an unwritten completion from which it is published early: one that it has only while the
// store is slower than usual.
func (c *Cell) SetEarlyAfter(after ms) {
	c.earlyAfterMs = min(after, maxEarlyAfterMs)
}

// maxEarly bounds the early completions, which each voter keeps.
const maxEarly = 20_000

// UnwrittenCompletions returns the jobs that have completed Cell.earlyAfterMs ago or more without being written. Each is
// returned once.
func (c *Cell) UnwrittenCompletions(now ms) []string {
	var out []string
	for j := range c.unwritten {
		if !j.early && !j.unstored && now-j.decidedAt >= c.earlyAfterMs && c.earlyCount < maxEarly {
			j.early = true
			c.earlyCount++
			out = append(out, j.spec.ID)
		}
	}
	return out
}

// PublishCompletions publishes completed jobs that a majority of the voters knows.
func (c *Cell) PublishCompletions(ids []string, now ms) {
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil || j.final != Completed || j.published != "" {
			continue
		}
		j.published = Completed
		c.publishState(j)
		c.cfg.Log("job shown", "Job", id, "State", j.published, "AgeMs", now-j.arrivedAt, "Written", false)
	}
}

// AdoptCompletions records completions that a prior leader may have published before they were written.
func (c *Cell) AdoptCompletions(ids []string, now ms) {
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil || j.final == Completed {
			continue
		}
		if j.published != "" {
			c.cfg.Log("completion ignored", "Job", id, "State", j.published)
			continue
		}
		j.final = "" // A request to cancel came after the completion.
		c.finish(j, Completed, now)
		j.early = true
		c.earlyCount++
		c.PublishCompletions([]string{id}, now)
	}
}
