package store

import (
	"fmt"
	"slices"
	"testing"
)

// Truncates, flips a byte of, or removes each file, and checks that Salvage returns only records that were written, in
// order, and that Lost is at least the number of missing records.
func TestSalvageReturnsOnlyWrittenRecords(t *testing.T) {
	d := newMemDir()
	states := workload(t, d)
	want := states[len(states)-1]
	complete, partial := 0, 0
	check := func(what string, bad *memDir) {
		s, err := Salvage(bad)
		if err != nil {
			return // the flipped byte changed the format version: no records are returned
		}
		i := 0
		for _, r := range s.Records {
			k := slices.Index(want[i:], string(r))
			if k < 0 {
				t.Fatalf("%s: record was never written or is out of order: %q", what, r)
			}
			i += k + 1
		}
		if missing := len(want) - len(s.Records); s.Lost < uint64(missing) {
			t.Fatalf("%s: got %d of %d records, but Lost is %d", what, len(s.Records), len(want), s.Lost)
		}
		if c, err := Inspect(bad); err == nil && (s.Lost > 0 || !slices.Equal(recordStrings(c), recordStrings(&Contents{Records: s.Records}))) {
			t.Fatalf("%s: Inspect finds no damage, but Salvage returned other records or lost some: %d lost", what, s.Lost)
		}
		if s.Lost == 0 {
			complete++
		} else {
			partial++
		}
	}
	names, _ := d.List()
	for _, name := range names {
		for offset := range d.files[name].data {
			for flip := range 2 {
				b := stateAfterCrash(d.ops, len(d.ops), 0, everythingWritten)
				if flip == 0 {
					b.files[name].data = b.files[name].data[:offset]
				} else {
					b.files[name].data[offset] ^= 0x21
				}
				check(fmt.Sprintf("%s at %d, %d", name, offset, flip), b)
			}
		}
		b := stateAfterCrash(d.ops, len(d.ops), 0, everythingWritten)
		delete(b.files, name)
		check(name+" removed", b)
	}
	if complete == 0 || partial < 50 {
		t.Fatalf("%d cases without loss, want at least 1; %d with loss, want at least 50", complete, partial)
	}
}

func TestSalvageFindsRecordsAfterGap(t *testing.T) {
	d := newMemDir()
	l, _ := openLog(t, d)
	for i := range 10 {
		if err := l.Append(fmt.Appendf(nil, "record %d", i)); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	f := d.files[segmentName(1)]
	f.data[3*(headerSize+8)+headerSize] ^= 1 // in the fourth record
	s, err := Salvage(d)
	if err != nil || len(s.Records) != 9 || s.Lost != 1 || len(s.Gaps) != 1 || s.Gaps[0].From != 3*(headerSize+8) {
		t.Fatalf("unexpected result of Salvage: %+v, %v", s, err)
	}
	copy(f.data[7*(headerSize+8):], f.data[1*(headerSize+8):2*(headerSize+8)]) // the second record in place of the eighth
	if s, err = Salvage(d); err != nil || len(s.Records) != 8 || s.Lost != 2 || string(s.Records[6]) != "record 8" {
		t.Fatalf("unexpected result of Salvage: %+v, %v", s, err)
	}
	copy(f.data[5*(headerSize+8):], make([]byte, 2*(headerSize+8))) // zeros in place of the sixth and seventh
	if s, err = Salvage(d); err != nil || len(s.Records) != 6 || s.Lost != 4 || len(s.Gaps) != 2 {
		t.Fatalf("unexpected result of Salvage: %+v, %v", s, err)
	}
}

func FuzzSalvage(f *testing.F) {
	d := newMemDir()
	workload(f, d)
	names, _ := d.List()
	f.Add(d.files[names[0]].data, d.files[checkpointName].data, names[0])
	f.Fuzz(func(t *testing.T, segment, checkpoint []byte, name string) {
		bad := newMemDir()
		bad.files[checkpointName] = &memFile{checkpoint}
		if name != checkpointName {
			bad.files[name] = &memFile{segment}
		}
		s, err := Salvage(bad)
		if err != nil {
			return
		}
		if c, err := Inspect(bad); err == nil && (s.Lost > 0 || len(c.Records) != len(s.Records)) {
			t.Fatalf("Inspect finds no damage, but Salvage lost %d and returned %d of %d records", s.Lost, len(s.Records), len(c.Records))
		}
	})
}
