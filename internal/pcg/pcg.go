// Package pcg is a permuted congruential generator (PCG XSH RR 64/32).
package pcg

const (
	step = 6364136223846793005
	odd  = 1442695040888963407
)

// Source is a stream of chance that its seed alone decides.
type Source struct{ state uint64 }

// New starts a stream.
func New(seed uint64) Source {
	s := Source{state: seed + odd}
	s.Uint32()
	return s
}

// Uint32 draws 32 even bits.
func (s *Source) Uint32() uint32 {
	old := s.state
	s.state = old*step + odd
	x := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	return x>>rot | x<<(-rot&31)
}

// Float draws from [0, 1).
func (s *Source) Float() float64 { return float64(s.Uint32()) / (1 << 32) }

// Below draws a whole number from 0 to n-1; n must be positive.
func (s *Source) Below(n int) int { return int(uint64(s.Uint32()) * uint64(n) >> 32) }
