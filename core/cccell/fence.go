package cccell

// Fences between the incarnations of a worker. Load: workers restart under their IDs while orders to them are in flight. An
// order that is carried out late by the next incarnation gives it a long lease, starts a task that was started elsewhere, or
// lets it forget an end that no leader has read. The orders don't name an incarnation, but a worker refuses tokens below the
// highest that it has seen. So each leader has a range of tokens, and uses the next one for each incarnation of a worker.

// tokenFor returns the token of orders for the present incarnation of a worker.
func (c *Cell) tokenFor(w *worker) int64 {
	return c.cfg.Token - c.cfg.RestartTokens + min(c.restarts[w.info.ID], c.cfg.RestartTokens)
}

// countRestart records that a worker has started again, so that it refuses the orders of before once it has seen one of the
// next token. The count outlives the record of the worker: a token must not be lower than one that was used.
func (c *Cell) countRestart(w *worker) {
	c.restarts[w.info.ID]++
	if c.unfenced(w) && c.restarts[w.info.ID] == c.cfg.RestartTokens+1 {
		c.cfg.Log("worker gets no more tasks in this term", "Worker", w.info.ID, "Restarts", c.restarts[w.info.ID])
	}
}

// unfenced reports whether this leader has no token left that fences off the orders for earlier incarnations of a worker.
func (c *Cell) unfenced(w *worker) bool {
	return c.cfg.RestartTokens > 0 && c.restarts[w.info.ID] > c.cfg.RestartTokens
}

// correctFenced changes the reason of a refusal if it was this leader that has fenced the order.
func (c *Cell) correctFenced(h *OrderHeader, w *worker, r *Reply) {
	if r.Reason == Fenced && c.forEarlier(h, w) {
		r.Reason = EarlierOrder
	}
}

// forEarlier reports whether an order was meant for an incarnation before the present one, as far as its token tells.
func (c *Cell) forEarlier(h *OrderHeader, w *worker) bool {
	return c.cfg.RestartTokens > 0 && h.Token < c.tokenFor(w)
}
