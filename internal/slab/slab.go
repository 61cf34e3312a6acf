// Package slab stores records in reusable slots. Handles to removed records become stale.
package slab

import "gullrail/decision"

// Slab stores records of one type. A slot gets a new generation whenever it is reused.
type Slab[T any] struct {
	entries []entry[T]
	free    []int32
}

type entry[T any] struct {
	record     T
	generation uint32
	live       bool
}

// Add reserves a slot and returns its handle and its zeroed record.
func (s *Slab[T]) Add() (decision.Handle, *T) {
	var index int32
	if n := len(s.free); n > 0 {
		index, s.free = s.free[n-1], s.free[:n-1]
	} else {
		index = int32(len(s.entries))
		s.entries = append(s.entries, entry[T]{})
	}
	p := &s.entries[index]
	var zero T
	p.record, p.live = zero, true
	p.generation++
	return decision.Handle{Index: index, Generation: p.generation}, &p.record
}

// Get returns the record of a handle, or nil if the handle is stale. The pointer is valid until the next Add.
func (s *Slab[T]) Get(h decision.Handle) *T {
	if h.Index < 0 || int(h.Index) >= len(s.entries) {
		return nil
	}
	if p := &s.entries[h.Index]; p.live && p.generation == h.Generation {
		return &p.record
	}
	return nil
}

// Remove frees the slot of a handle. A stale handle is ignored.
func (s *Slab[T]) Remove(h decision.Handle) {
	if s.Get(h) != nil {
		s.entries[h.Index].live = false
		s.free = append(s.free, h.Index)
	}
}

// Len returns the number of slots, used or free, for iteration with At.
func (s *Slab[T]) Len() int { return len(s.entries) }

// At returns the handle and record of a slot, or nil if it is free.
func (s *Slab[T]) At(i int) (decision.Handle, *T) {
	if p := &s.entries[i]; p.live {
		return decision.Handle{Index: int32(i), Generation: p.generation}, &p.record
	}
	return decision.Handle{}, nil
}
