package serve

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/rs/zerolog"

	"gullrail/conf"
	"gullrail/front"
	"gullrail/ledger"
	"gullrail/nodes"
	"gullrail/session"
	"gullrail/store"
)

// journal is the carrier of a front that keeps records: what ledger.Before says is durable before it leaves.
// While the store is broken such allocations are not sent at all, and their plays are declined.
type journal struct {
	*nodes.Client
	log    *store.Log
	set    *conf.Service
	epoch  int64
	runner *session.Runner
	say    zerolog.Logger
	wg     sync.WaitGroup

	mu      sync.Mutex
	book    *ledger.Book
	waiting map[session.Ref]bool // not durable yet; false once recalled
	broken  bool
}

// openJournal opens the store in a state folder and returns what an earlier life left open.
func openJournal(folder string, set *conf.Service, epoch int64, client *nodes.Client, r *session.Runner, say zerolog.Logger) (*journal, []session.Expected, error) {
	dir := filepath.Join(folder, "plays")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("state folder: %w", err)
	}
	log, contents, err := store.Open(store.Folder(dir))
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	book, err := ledger.Read(contents.Records)
	if err != nil {
		log.Close()
		return nil, nil, fmt.Errorf("%s: %w", dir, err)
	}
	var open []session.Expected
	for _, r := range book.Open() {
		product, ok := set.ProductNumber(r.Product)
		home, copies, known := set.Title(r.Title)
		if !ok || !known {
			product = -1
		}
		open = append(open, session.Expected{Node: r.Node, Running: session.Running{Play: r.Play, Epoch: r.Epoch, Try: r.Try, Product: product,
			Title: r.Title, Home: home, Copies: copies, Viewer: r.Viewer, Rung: r.Rung, Top: r.Top}})
	}
	say.Info().Int("open", len(open)).Int("records", len(contents.Records)).Msg("plays of an earlier life, by record")
	return &journal{Client: client, log: log, set: set, epoch: epoch, runner: r, say: say, book: book, waiting: map[session.Ref]bool{}}, open, nil
}

func (j *journal) keeps(product int) bool {
	return ledger.Before(j.set.Products[product].Paid, j.set.Products[product].Seats)
}

// SetUp records an allocation where that comes first, and then sends it.
func (j *journal) SetUp(a session.Allocation) {
	if !j.keeps(a.Product) {
		j.Client.SetUp(a)
		return
	}
	j.mu.Lock()
	j.waiting[a.Ref] = true
	j.mu.Unlock()
	j.spawn(func() {
		err := j.append(ledger.Record{Kind: ledger.Allocated, Play: a.Play, Epoch: j.epoch, Try: a.Try, Product: j.set.Product(a.Product),
			Title: a.Title, Viewer: a.Viewer, Node: a.Name, Rung: a.Rung, Top: a.Top})
		j.mu.Lock()
		wanted := j.waiting[a.Ref]
		delete(j.waiting, a.Ref)
		j.mu.Unlock()
		if err != nil || !wanted {
			j.runner.Tell(func(now int64, c *session.Core) { c.SetUpEnded(now, a.Ref, front.NotSent, front.Untold) })
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
		j.Client.Recall(r)
	}
}

// Finished records a play's end; nobody waits for it.
func (j *journal) Finished(play string, product int) {
	if j.keeps(product) {
		j.spawn(func() { j.append(ledger.Record{Kind: ledger.Ended, Play: play}) })
	}
}

// append makes a record part of the book and then durable. The book and the log take it in one step, so
// that a compaction to what the book holds leaves out nothing that the log has.
func (j *journal) append(r ledger.Record) error {
	j.mu.Lock()
	if err := j.book.Apply(r); err != nil {
		j.say.Error().Err(err).Msg("a record out of order")
	}
	done := j.log.Begin(r.Encode())
	var compacted <-chan error
	if j.book.Compact() {
		var records [][]byte
		for _, r := range j.book.Open() {
			records = append(records, r.Encode())
		}
		compacted = j.log.Compact(records)
		j.book.Compacted()
	}
	j.mu.Unlock()
	err := <-done
	if compacted != nil {
		if e := <-compacted; err == nil && e != nil {
			j.say.Error().Err(e).Msg("compaction")
		}
	}
	if err != nil {
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
