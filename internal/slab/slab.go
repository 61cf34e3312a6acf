// Package slab keeps records in places that are used again, behind handles that go stale.
package slab

import "gullrail/decision"

// Slab holds records of one type. A place is reused once dropped; its generation then moves on.
type Slab[T any] struct {
	places []place[T]
	free   []int32
}

type place[T any] struct {
	rec  T
	gen  uint32
	live bool
}

// Add takes a place and returns its handle with the zeroed record in it.
func (s *Slab[T]) Add() (decision.Handle, *T) {
	var at int32
	if n := len(s.free); n > 0 {
		at, s.free = s.free[n-1], s.free[:n-1]
	} else {
		at = int32(len(s.places))
		s.places = append(s.places, place[T]{})
	}
	p := &s.places[at]
	var zero T
	p.rec, p.live = zero, true
	p.gen++
	return decision.Handle{Index: at, Generation: p.gen}, &p.rec
}

// Get returns the record of a handle, or nil if the handle is stale.
// The pointer holds until the next Add.
func (s *Slab[T]) Get(h decision.Handle) *T {
	if h.Index < 0 || int(h.Index) >= len(s.places) {
		return nil
	}
	if p := &s.places[h.Index]; p.live && p.gen == h.Generation {
		return &p.rec
	}
	return nil
}

// Drop gives a place back; a stale handle does nothing.
func (s *Slab[T]) Drop(h decision.Handle) {
	if s.Get(h) != nil {
		s.places[h.Index].live = false
		s.free = append(s.free, h.Index)
	}
}

// Len is the number of places, live or not; At walks them in their order.
func (s *Slab[T]) Len() int { return len(s.places) }

// At returns the handle and record in a place, or nil if nothing lives there.
func (s *Slab[T]) At(i int) (decision.Handle, *T) {
	if p := &s.places[i]; p.live {
		return decision.Handle{Index: int32(i), Generation: p.gen}, &p.rec
	}
	return decision.Handle{}, nil
}
