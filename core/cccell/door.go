package cccell

// Door says whether work of a queue is let in. A closed door refuses at once: such work would wait past its use.
type Door struct {
	// ClosedMs is the time for which the door is expected to stay closed; 0 means open.
	ClosedMs int64 `cbor:"1,keyasint,omitempty"`
}

// Doors returns the doors that are closed.
func (c *Cell) Doors(now ms) map[string]Door {
	return nil
}
