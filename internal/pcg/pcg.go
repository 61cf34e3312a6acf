// Package pcg implements the pseudo-random number generator PCG XSH RR 64/32.
package pcg

const (
	multiplier = 6364136223846793005
	increment  = 1442695040888963407
)

// Source is a deterministic sequence of random numbers.
type Source struct{ state uint64 }

// New returns a source with the given seed.
func New(seed uint64) Source {
	s := Source{state: seed + increment}
	s.Uint32()
	return s
}

// Uint32 returns 32 uniformly distributed bits.
func (s *Source) Uint32() uint32 {
	old := s.state
	s.state = old*multiplier + increment
	x := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	return x>>rot | x<<(-rot&31)
}

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint32()) / (1 << 32) }

// IntN returns an integer in [0, n); n must be positive.
func (s *Source) IntN(n int) int { return int(uint64(s.Uint32()) * uint64(n) >> 32) }
