package slab

import "testing"

func TestReusedSlotMakesOldHandlesStale(t *testing.T) {
	var s Slab[int]
	old, _ := s.Add()
	s.Remove(old)
	s.Remove(old)
	fresh, rec := s.Add()
	*rec = 7
	if fresh.Index != old.Index || s.Get(old) != nil || *s.Get(fresh) != 7 || s.Len() != 1 {
		t.Fatalf("old %+v, fresh %+v", old, fresh)
	}
}
