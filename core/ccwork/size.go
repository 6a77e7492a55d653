package ccwork

import "github.com/cockroachdb/errors"

// ErrBadSize reports a size with a negative part.
var ErrBadSize = errors.New("size has a negative part")

// Size is what a task takes of a worker, or what a worker offers.
type Size struct {
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64 `yaml:"MilliCores,omitempty"`
	// MemoryMB is memory in units of 10^6 bytes.
	MemoryMB int64 `yaml:"MemoryMB,omitempty"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `yaml:"Accelerators,omitempty"`
	// Slots is a count of concurrent tasks.
	Slots int64 `yaml:"Slots,omitempty"`
	// Connections is a count of TCP connections.
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

// Fits reports whether s fits into free in every part.
func (s *Size) Fits(free *Size) bool {
	return s.MilliCores <= free.MilliCores && s.MemoryMB <= free.MemoryMB &&
		s.Slots <= free.Slots && s.Connections <= free.Connections &&
		s.Accelerators <= free.Accelerators
}

// Max returns the larger of s and o in every part.
func (s Size) Max(o Size) Size {
	s.MilliCores = max(s.MilliCores, o.MilliCores)
	s.MemoryMB = max(s.MemoryMB, o.MemoryMB)
	s.Accelerators = max(s.Accelerators, o.Accelerators)
	s.Slots = max(s.Slots, o.Slots)
	s.Connections = max(s.Connections, o.Connections)
	return s
}

// Times returns s taken n times.
func (s Size) Times(n int64) Size {
	s.MilliCores *= n
	s.MemoryMB *= n
	s.Accelerators *= n
	s.Slots *= n
	s.Connections *= n
	return s
}

// Check returns ErrBadSize when a part is negative.
func (s Size) Check() error {
	if min(s.MilliCores, s.MemoryMB, s.Accelerators, s.Slots, s.Connections) < 0 {
		return ErrBadSize
	}
	return nil
}

// TooLarge names the first resource of which s wants more than largest has,
// or returns "" when s fits.
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
