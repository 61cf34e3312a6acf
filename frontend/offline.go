package frontend

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gullrail/playlog"
	"gullrail/store"
)

// holdStore keeps fronts off a store while it is worked on: it locks the state folder that it lies in. A copy of
// a store that lies elsewhere belongs to nobody.
func holdStore(dir string) (release func(), err error) {
	folder := filepath.Dir(filepath.Clean(dir))
	if _, err := os.Stat(filepath.Join(folder, "lock")); errors.Is(err, os.ErrNotExist) {
		return func() {}, nil
	}
	lock, err := hold(folder)
	if err != nil {
		return nil, err
	}
	return func() { lock.Close() }, nil
}

// Compacted is what an offline compaction did.
type Compacted struct{ RecordsBefore, RecordsAfter, BytesBefore, BytesAfter int64 }

// CompactStore brings the store of a front that does not run down to what is needed, as the front does by itself. It
// fails with ErrLocked while the front runs, and changes nothing in a store that is damaged.
func CompactStore(dir string) (Compacted, error) {
	release, err := holdStore(dir)
	if err != nil {
		return Compacted{}, err
	}
	defer release()
	log, c, err := store.Open(store.Folder(dir))
	if err != nil {
		return Compacted{}, fmt.Errorf("%s: %w", dir, err)
	}
	book, err := playlog.Read(c.Records)
	if err != nil {
		log.Close()
		return Compacted{}, fmt.Errorf("%s: %w", dir, err)
	}
	book.Expire(time.Now().UnixMilli())
	records := encode(book)
	err = errors.Join(<-log.Compact(records), log.Close())
	if err != nil {
		return Compacted{}, fmt.Errorf("%s: %w", dir, err)
	}
	after, err := store.Inspect(store.Folder(dir))
	if err != nil {
		return Compacted{}, fmt.Errorf("%s: %w", dir, err)
	}
	return Compacted{int64(len(c.Records)), int64(len(after.Records)), c.Bytes, after.Bytes}, nil
}

// Salvaged is what a salvage came to.
type Salvaged struct {
	Records, Open int // written to the new store
	Lost          uint64
	Gaps          []store.MissingRange
}

// SalvageStore writes what can be had of a damaged store into a new folder, which must not exist yet; the damaged
// one is left as it is. Where records are missing the new store says so, and a front that starts on it takes
// plays only once all nodes have told what they run or their leases have passed: what the missing records told of
// has ended by then, or was told by its node.
func SalvageStore(dir, into string) (Salvaged, error) {
	release, err := holdStore(dir)
	if err != nil {
		return Salvaged{}, err
	}
	defer release()
	found, err := store.Salvage(store.Folder(dir))
	if err != nil {
		return Salvaged{}, fmt.Errorf("%s: %w", dir, err)
	}
	out := Salvaged{Lost: found.Lost, Gaps: found.Gaps}
	book := playlog.NewState()
	for _, raw := range found.Records {
		r, err := playlog.Decode(raw)
		if err != nil { // its checksum holds and its text does not: not one that a front wrote
			out.Lost++
			continue
		}
		// Out of order is what a gap leaves; the state then keeps to the later allocation, which is the safe side.
		_ = book.Apply(r)
		out.Records++
	}
	if out.Lost > 0 {
		if err := book.Apply(playlog.Record{Kind: playlog.Lost, Count: out.Lost}); err != nil {
			return out, err
		}
	}
	if err := os.Mkdir(into, 0o700); err != nil {
		return out, fmt.Errorf("salvage: %w", err)
	}
	log, _, err := store.Open(store.Folder(into))
	if err != nil {
		return out, fmt.Errorf("%s: %w", into, err)
	}
	out.Open = len(book.OpenPlays())
	if err := errors.Join(<-log.Compact(encode(book)), log.Close()); err != nil {
		return out, fmt.Errorf("%s: %w", into, err)
	}
	return out, nil
}
