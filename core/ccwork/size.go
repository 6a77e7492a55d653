package ccwork

import "github.com/cockroachdb/errors"

// ErrBadSize reports a size with a negative value.
var ErrBadSize = errors.New("size has a negative value")

// Size is the capacity that a task uses on a worker, or that a worker has.
type Size struct {
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64 `yaml:"MilliCores,omitempty"`
	// MemoryMB is memory in units of 10^6 bytes.
	MemoryMB int64 `yaml:"MemoryMB,omitempty"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `yaml:"Accelerators,omitempty"`
	// Slots is the number of concurrent tasks.
	Slots int64 `yaml:"Slots,omitempty"`
	// Connections is the number of TCP connections.
	Connections int64 `yaml:"Connections,omitempty"`
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	s.MilliCores += o.MilliCores
	s.MemoryMB += o.MemoryMB
	s.Accelerators += o.Accelerators
	s.Slots += o.Slots
	s.Connections += o.Connections
	return s
}

// Minus returns s less o.
func (s Size) Minus(o Size) Size {
	s.MilliCores -= o.MilliCores
	s.MemoryMB -= o.MemoryMB
	s.Accelerators -= o.Accelerators
	s.Slots -= o.Slots
	s.Connections -= o.Connections
	return s
}

// Fits reports whether every value of s is at most that of free.
func (s *Size) Fits(free *Size) bool {
	return s.MilliCores <= free.MilliCores && s.MemoryMB <= free.MemoryMB &&
		s.Slots <= free.Slots && s.Connections <= free.Connections &&
		s.Accelerators <= free.Accelerators
}

// Max returns, for each resource, the larger value of s and o.
func (s Size) Max(o Size) Size {
	s.MilliCores = max(s.MilliCores, o.MilliCores)
	s.MemoryMB = max(s.MemoryMB, o.MemoryMB)
	s.Accelerators = max(s.Accelerators, o.Accelerators)
	s.Slots = max(s.Slots, o.Slots)
	s.Connections = max(s.Connections, o.Connections)
	return s
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	s.MilliCores *= n
	s.MemoryMB *= n
	s.Accelerators *= n
	s.Slots *= n
	s.Connections *= n
	return s
}

// Check returns ErrBadSize if a value is negative.
func (s Size) Check() error {
	if min(s.MilliCores, s.MemoryMB, s.Accelerators, s.Slots, s.Connections) < 0 {
		return ErrBadSize
	}
	return nil
}

// TooLarge returns the name of the first resource of which s has more than largest, or "" if there is none.
func (s Size) TooLarge(largest Size) string {
	switch {
	case s.MilliCores > largest.MilliCores:
		return "MilliCores"
	case s.MemoryMB > largest.MemoryMB:
		return "MemoryMB"
	case s.Accelerators > largest.Accelerators:
		return "Accelerators"
	case s.Slots > largest.Slots:
		return "Slots"
	case s.Connections > largest.Connections:
		return "Connections"
	}
	return ""
}
