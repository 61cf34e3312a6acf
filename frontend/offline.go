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

// lockStore keeps fronts from using a store by locking the state folder that contains it. It locks nothing if the
// containing folder has no lock file and so is not a state folder, as for a copy of a store.
func lockStore(dir string) (release func(), err error) {
	folder := filepath.Dir(filepath.Clean(dir))
	if _, err := os.Stat(filepath.Join(folder, "lock")); errors.Is(err, os.ErrNotExist) {
		return func() {}, nil
	}
	lock, err := lockFile(folder)
	if err != nil {
		return nil, err
	}
	return func() { lock.Close() }, nil
}

// CompactResult is the result of an offline compaction.
type CompactResult struct{ RecordsBefore, RecordsAfter, BytesBefore, BytesAfter int64 }

// CompactStore compacts the store of a front that is not running to the records needed, as a running front does by itself.
// It fails with ErrLocked while the front runs, and changes nothing in a damaged store.
func CompactStore(dir string) (CompactResult, error) {
	release, err := lockStore(dir)
	if err != nil {
		return CompactResult{}, err
	}
	defer release()
	log, c, err := store.Open(store.Dir(dir))
	if err != nil {
		return CompactResult{}, fmt.Errorf("%s: %w", dir, err)
	}
	state, err := playlog.Read(c.Records)
	if err != nil {
		log.Close()
		return CompactResult{}, fmt.Errorf("%s: %w", dir, err)
	}
	state.Expire(time.Now().UnixMilli())
	records := encodeRecords(state)
	err = errors.Join(<-log.Compact(records), log.Close())
	if err != nil {
		return CompactResult{}, fmt.Errorf("%s: %w", dir, err)
	}
	after, err := store.Inspect(store.Dir(dir))
	if err != nil {
		return CompactResult{}, fmt.Errorf("%s: %w", dir, err)
	}
	return CompactResult{int64(len(c.Records)), int64(len(after.Records)), c.Bytes, after.Bytes}, nil
}

// SalvageResult is the result of salvaging a store.
type SalvageResult struct {
	Records, Open int    // records recovered, and open plays in the new store
	Lost          uint64 // lower bound of the records lost
	Gaps          []store.MissingRange
}

// SalvageStore writes the records that can be recovered from a damaged store to a new folder, which must not exist yet.
// The damaged store is not changed. If records are missing, the new store holds their number, and a front that starts
// with it accepts plays only when each node has reported its plays or its lease has expired: by then the plays of the
// missing records have ended or have been reported by their nodes.
func SalvageStore(dir, into string) (SalvageResult, error) {
	release, err := lockStore(dir)
	if err != nil {
		return SalvageResult{}, err
	}
	defer release()
	found, err := store.Salvage(store.Dir(dir))
	if err != nil {
		return SalvageResult{}, fmt.Errorf("%s: %w", dir, err)
	}
	out := SalvageResult{Lost: found.Lost, Gaps: found.Gaps}
	state := playlog.NewState()
	for _, raw := range found.Records {
		r, err := playlog.Decode(raw)
		if err != nil { // invalid despite a correct checksum, so not written by a front
			out.Lost++
			continue
		}
		// An error means records out of order, which a gap may cause. The state then keeps the latest attempt, whose seat
		// stays taken.
		_ = state.Apply(r)
		out.Records++
	}
	if out.Lost > 0 {
		if err := state.Apply(playlog.Record{Kind: playlog.RecordsLost, Count: out.Lost}); err != nil {
			return out, err
		}
	}
	if err := os.Mkdir(into, 0o700); err != nil {
		return out, fmt.Errorf("salvage: %w", err)
	}
	log, _, err := store.Open(store.Dir(into))
	if err != nil {
		return out, fmt.Errorf("%s: %w", into, err)
	}
	out.Open = len(state.OpenPlays())
	if err := errors.Join(<-log.Compact(encodeRecords(state)), log.Close()); err != nil {
		return out, fmt.Errorf("%s: %w", into, err)
	}
	return out, nil
}
