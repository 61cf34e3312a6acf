package frontend

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/decision"
	"gullrail/nodes"
	"gullrail/playlog"
	"gullrail/session"
	"gullrail/store"
)

// PlayLogFolder is the name of the folder, in a front's state folder, with the store of the play log.
const PlayLogFolder = "plays"

// journal is a session.Transport that records plays. The allocations for which playlog.RequiresDurableRecord holds are durable before
// they are sent. If the store is broken, they are not sent and their plays are declined.
type journal struct {
	*nodes.Client
	log     *store.Log
	service *config.Service
	epoch   int64
	runner  *session.Runner
	logger  zerolog.Logger
	wg      sync.WaitGroup

	mu      sync.Mutex
	state   *playlog.State
	pending map[session.Ref]bool // allocations whose records are not durable yet; false once cancelled
	broken  bool
}

// previousRuns is the state recorded by earlier runs of the front.
type previousRuns struct {
	open  []session.RecordedPlay
	ended []playlog.EndedPlay
	lost  uint64 // number of records that a salvage found missing
}

// openJournal opens the store in a state folder and returns the state recorded by earlier runs.
func openJournal(folder string, service *config.Service, epoch int64, client *nodes.Client, r *session.Runner, logger zerolog.Logger) (*journal, previousRuns, error) {
	dir := filepath.Join(folder, PlayLogFolder)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, previousRuns{}, fmt.Errorf("state folder: %w", err)
	}
	j, previous, err := newJournal(store.Dir(dir), service, epoch, client, r, logger)
	if err != nil {
		return nil, previousRuns{}, fmt.Errorf("%s: %w", dir, err)
	}
	return j, previous, nil
}

func newJournal(files store.Files, service *config.Service, epoch int64, client *nodes.Client, r *session.Runner, logger zerolog.Logger) (*journal, previousRuns, error) {
	log, contents, err := store.Open(files)
	if err != nil {
		return nil, previousRuns{}, err
	}
	state, err := playlog.Read(contents.Records)
	if err != nil {
		log.Close()
		return nil, previousRuns{}, err
	}
	state.Expire(time.Now().UnixMilli())
	previous := previousRuns{ended: state.EndedPlays(), lost: state.Lost()}
	for _, r := range state.OpenPlays() {
		product, ok := service.ProductNumber(r.Product)
		firstCell, cellCount, known := service.Title(r.Title)
		if !ok || !known {
			product = -1
		}
		previous.open = append(previous.open, session.RecordedPlay{Node: r.Node, Answered: r.Answered, ReportedPlay: session.ReportedPlay{Play: r.Play, Epoch: r.Epoch,
			Attempt: r.Attempt, Product: product, Title: r.Title, FirstCell: firstCell, CellCount: cellCount, Viewer: r.Viewer, Rung: r.Rung, MaxRung: r.MaxRung}})
	}
	if previous.lost > 0 {
		logger.Warn().Uint64("records", previous.lost).Msg("a salvage found records missing; accepting plays once every node has reported its plays or its lease has expired")
	}
	logger.Info().Int("open", len(previous.open)).Int("records", len(contents.Records)).Msg("restored plays recorded by earlier runs")
	return &journal{Client: client, log: log, service: service, epoch: epoch, runner: r, logger: logger, state: state, pending: map[session.Ref]bool{}}, previous, nil
}

func (j *journal) logsFirst(product int) bool {
	return playlog.RequiresDurableRecord(j.service.Products[product].Paid, j.service.Products[product].MaxSeats)
}

// SetUp sends an allocation, after recording it durably if the product requires that.
func (j *journal) SetUp(a session.Allocation) {
	if !j.logsFirst(a.Product) {
		j.Client.SetUp(a)
		return
	}
	done := j.write(playlog.Record{Kind: playlog.Allocated, Play: a.Play, Epoch: j.epoch, Attempt: a.Attempt, Product: j.service.Product(a.Product),
		Title: a.Title, Viewer: a.Viewer, Node: a.Name, Rung: a.Rung, MaxRung: a.MaxRung})
	j.mu.Lock()
	j.pending[a.Ref] = true
	j.mu.Unlock()
	j.spawn(func() {
		err := j.await(done)
		j.mu.Lock()
		wanted := j.pending[a.Ref]
		delete(j.pending, a.Ref)
		j.mu.Unlock()
		if err != nil || !wanted {
			j.runner.Post(func(now int64, c *session.Core) { c.SetUpEnded(now, a.Ref, decision.NotSent, decision.UnknownLoad) })
			return
		}
		j.Client.SetUp(a)
	})
}

func (j *journal) spawn(do func()) {
	j.wg.Add(1)
	go func() { defer j.wg.Done(); do() }()
}

// Cancel cancels an allocation, including one that is not sent yet as its record is not durable.
func (j *journal) Cancel(r session.Ref) {
	j.mu.Lock()
	_, pending := j.pending[r]
	if pending {
		j.pending[r] = false
	}
	j.mu.Unlock()
	if !pending {
		j.Client.Cancel(r)
	}
}

// PlayStarted records that the viewer of a play was answered, and that the token of the resumed play, if any, is used. It
// doesn't wait for the disk.
func (j *journal) PlayStarted(r session.Ref, product int, resumed string) {
	if !j.logsFirst(product) {
		return
	}
	j.writeAsync(playlog.Record{Kind: playlog.Started, Play: r.Play, Attempt: r.Attempt})
	if resumed != "" {
		j.writeAsync(playlog.Record{Kind: playlog.TokenUsed, Play: resumed, At: time.Now().UnixMilli()})
	}
}

// PlayFinished records the end of a play. It doesn't wait for the disk.
func (j *journal) PlayFinished(play string, product int, reason playlog.EndReason) {
	if j.logsFirst(product) {
		r := playlog.Record{Kind: playlog.Ended, Play: play, EndReason: reason}
		if reason != "" {
			r.At = time.Now().UnixMilli()
		}
		j.writeAsync(r)
	}
}

// RecoveryDone records that the reports of the nodes have replaced the missing records, if there were any.
func (j *journal) RecoveryDone() {
	j.mu.Lock()
	lost := j.state.Lost()
	j.mu.Unlock()
	if lost > 0 {
		j.logger.Info().Uint64("records", lost).Msg("reports of the nodes have replaced the missing records")
		j.writeAsync(playlog.Record{Kind: playlog.RecordsRecovered})
	}
}

func (j *journal) writeAsync(r playlog.Record) {
	done := j.write(r)
	j.spawn(func() { j.await(done) })
}

// write adds a record to the log and the state, in the order of the core's calls. It does both with the lock held, so
// that a compaction to the records of the state drops none that are in the log only. It never waits for the disk: if the
// log's queue is full, the record is not written and the channel delivers the error, as for a failed write.
func (j *journal) write(r playlog.Record) <-chan error {
	j.mu.Lock()
	defer j.mu.Unlock()
	done, err := j.log.TryAppendAsync(r.Encode())
	if err != nil {
		failed := make(chan error, 1)
		failed <- err
		return failed
	}
	if err := j.state.Apply(r); err != nil {
		j.logger.Error().Err(err).Msg("play log record is out of order")
	}
	if j.state.NeedsCompaction() {
		j.compact()
	}
	return done
}

// compact replaces the records in the log by those that the state needs. The caller holds the lock.
func (j *journal) compact() {
	j.state.Expire(time.Now().UnixMilli())
	records := encodeRecords(j.state)
	if _, err := j.log.TryCompact(records); err == nil { // if writing fails, the log is broken and the next write reports it
		j.state.SetRecordCount(len(records))
	}
}

func encodeRecords(state *playlog.State) (out [][]byte) {
	for _, r := range state.Records() {
		out = append(out, r.Encode())
	}
	return out
}

// await waits for the result of a write and notes if the store is broken, which lasts until the front is restarted. A
// full queue is only temporary and is not noted.
func (j *journal) await(done <-chan error) error {
	err := <-done
	if errors.Is(err, store.ErrBroken) {
		j.mu.Lock()
		defer j.mu.Unlock()
		if !j.broken {
			j.broken = true
			j.logger.Error().Err(err).Msg("the store is broken; declining plays of paid products and of those with seats until the front is restarted")
		}
	}
	return err
}

// Broken reports whether the store is broken.
func (j *journal) Broken() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken
}

// Close closes the client, waits for pending writes, and closes the store.
func (j *journal) Close() error {
	j.Client.Close()
	j.wg.Wait()
	return j.log.Close()
}
