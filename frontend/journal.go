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

// PlaysFolder is where a front's store is, in its state folder.
const PlaysFolder = "plays"

// journal is the transport of a front that keeps records: what playlog.LogFirst says is durable before it leaves.
// While the store is broken such allocations are not sent at all, and their plays are declined.
type journal struct {
	*nodes.Client
	log    *store.Log
	set    *config.Service
	epoch  int64
	runner *session.Runner
	say    zerolog.Logger
	wg     sync.WaitGroup

	mu      sync.Mutex
	book    *playlog.State
	waiting map[session.Ref]bool // not durable yet; false once recalled
	broken  bool
}

// earlier is what the records of a front's earlier lives come to.
type earlier struct {
	open []session.Expected
	past []playlog.EndedPlay
	lost uint64 // records that are missing
}

// openJournal opens the store in a state folder and returns what earlier lives left.
func openJournal(folder string, set *config.Service, epoch int64, client *nodes.Client, r *session.Runner, say zerolog.Logger) (*journal, earlier, error) {
	dir := filepath.Join(folder, PlaysFolder)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, earlier{}, fmt.Errorf("state folder: %w", err)
	}
	j, was, err := newJournal(store.Folder(dir), set, epoch, client, r, say)
	if err != nil {
		return nil, earlier{}, fmt.Errorf("%s: %w", dir, err)
	}
	return j, was, nil
}

func newJournal(files store.Files, set *config.Service, epoch int64, client *nodes.Client, r *session.Runner, say zerolog.Logger) (*journal, earlier, error) {
	log, contents, err := store.Open(files)
	if err != nil {
		return nil, earlier{}, err
	}
	book, err := playlog.Read(contents.Records)
	if err != nil {
		log.Close()
		return nil, earlier{}, err
	}
	book.Expire(time.Now().UnixMilli())
	was := earlier{past: book.EndedPlays(), lost: book.Lost()}
	for _, r := range book.OpenPlays() {
		product, ok := set.ProductNumber(r.Product)
		home, copies, known := set.Title(r.Title)
		if !ok || !known {
			product = -1
		}
		was.open = append(was.open, session.Expected{Node: r.Node, Answered: r.Answered, Running: session.Running{Play: r.Play, Epoch: r.Epoch,
			Attempt: r.Attempt, Product: product, Title: r.Title, FirstCell: home, CellCount: copies, Viewer: r.Viewer, Rung: r.Rung, MaxRung: r.MaxRung}})
	}
	if was.lost > 0 {
		say.Warn().Uint64("records", was.lost).Msg("records are missing since a salvage: plays are taken once every node has told or its lease has passed")
	}
	say.Info().Int("open", len(was.open)).Int("records", len(contents.Records)).Msg("plays of an earlier life, by record")
	return &journal{Client: client, log: log, set: set, epoch: epoch, runner: r, say: say, book: book, waiting: map[session.Ref]bool{}}, was, nil
}

func (j *journal) keeps(product int) bool {
	return playlog.LogFirst(j.set.Products[product].Paid, j.set.Products[product].MaxSeats)
}

// SetUp records an allocation where that comes first, and then sends it.
func (j *journal) SetUp(a session.Allocation) {
	if !j.keeps(a.Product) {
		j.Client.SetUp(a)
		return
	}
	done := j.write(playlog.Record{Kind: playlog.Allocated, Play: a.Play, Epoch: j.epoch, Attempt: a.Attempt, Product: j.set.Product(a.Product),
		Title: a.Title, Viewer: a.Viewer, Node: a.Name, Rung: a.Rung, MaxRung: a.MaxRung})
	j.mu.Lock()
	j.waiting[a.Ref] = true
	j.mu.Unlock()
	j.spawn(func() {
		err := j.wait(done)
		j.mu.Lock()
		wanted := j.waiting[a.Ref]
		delete(j.waiting, a.Ref)
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

// Recall lets go of an allocation, also of one that is not durable yet and so was never sent.
func (j *journal) Recall(r session.Ref) {
	j.mu.Lock()
	_, waits := j.waiting[r]
	if waits {
		j.waiting[r] = false
	}
	j.mu.Unlock()
	if !waits {
		j.Client.Cancel(r)
	}
}

// PlayStarted records that a play's viewer was told, and that a token is used up; nobody waits for it.
func (j *journal) PlayStarted(r session.Ref, product int, back string) {
	if !j.keeps(product) {
		return
	}
	j.later(playlog.Record{Kind: playlog.Started, Play: r.Play, Attempt: r.Attempt})
	if back != "" {
		j.later(playlog.Record{Kind: playlog.Token, Play: back, At: time.Now().UnixMilli()})
	}
}

// PlayFinished records a play's end; nobody waits for it.
func (j *journal) PlayFinished(play string, product int, how playlog.EndReason) {
	if j.keeps(product) {
		r := playlog.Record{Kind: playlog.Ended, Play: play, EndReason: how}
		if how != "" {
			r.At = time.Now().UnixMilli()
		}
		j.later(r)
	}
}

// RecoveryDone records that nothing is missing any more, where anything was.
func (j *journal) RecoveryDone() {
	j.mu.Lock()
	lost := j.book.Lost()
	j.mu.Unlock()
	if lost > 0 {
		j.say.Info().Uint64("records", lost).Msg("the nodes have made up for the records that were missing")
		j.later(playlog.Record{Kind: playlog.Recovered})
	}
}

func (j *journal) later(r playlog.Record) {
	done := j.write(r)
	j.spawn(func() { j.wait(done) })
}

// write puts a record into the log and the state in one step, so that a compaction to what the state holds
// leaves out nothing that the log has, and in the order of the core's calls. It never waits for the disk: where
// the log is too far behind, the record is not taken, which is as good as a failed write.
func (j *journal) write(r playlog.Record) <-chan error {
	j.mu.Lock()
	defer j.mu.Unlock()
	done, err := j.log.TryBegin(r.Encode())
	if err != nil {
		refused := make(chan error, 1)
		refused <- err
		return refused
	}
	if err := j.book.Apply(r); err != nil {
		j.say.Error().Err(err).Msg("a record out of order")
	}
	if j.book.NeedsCompaction() {
		j.compact()
	}
	return done
}

// compact brings the log down to what the state needs; the caller holds the lock.
func (j *journal) compact() {
	j.book.Expire(time.Now().UnixMilli())
	records := encode(j.book)
	if _, err := j.log.TryCompact(records); err == nil { // its failure breaks the log, which the next record tells
		j.book.Compacted(len(records))
	}
}

func encode(b *playlog.State) (out [][]byte) {
	for _, r := range b.Records() {
		out = append(out, r.Encode())
	}
	return out
}

// wait brings what became of a record. A log that is behind may catch up; one that broke stays so.
func (j *journal) wait(done <-chan error) error {
	err := <-done
	if errors.Is(err, store.ErrBroken) {
		j.mu.Lock()
		defer j.mu.Unlock()
		if !j.broken {
			j.broken = true
			j.say.Error().Err(err).Msg("the store is broken: paid and seated plays are declined until the front starts again")
		}
	}
	return err
}

// Broken tells whether the store is.
func (j *journal) Broken() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken
}

// Close waits for what is being written and closes the store.
func (j *journal) Close() error {
	j.Client.Close()
	j.wg.Wait()
	return j.log.Close()
}
