package serve

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gullrail/ledger"
	"gullrail/store"
)

// recoverRecords asks for a measurement: go test ./serve -run Recover -records 1000000 -v
var recoverRecords = flag.Int("records", 2000, "records to recover in the recovery test")

func TestRecoverWhatIsOpen(t *testing.T) {
	n := *recoverRecords
	folder := store.Folder(t.TempDir())
	log, _, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	var last <-chan error
	for i := range n {
		r := ledger.Record{Kind: ledger.Ended, Play: fmt.Sprintf("f0-18ed25f932a30537-%d", i/2)}
		if i%2 == 0 {
			r = ledger.Record{Kind: ledger.Allocated, Play: r.Play, Epoch: 1796135833781432321, Product: "lesson", Title: "clip-12", Viewer: "v7",
				Node: "n0", Rung: 1, Top: 2}
		} else if i/2%5 == 0 { // one play in five stays open
			r = ledger.Record{Kind: ledger.Ended, Play: "another"}
		}
		last = log.Begin(r.Encode())
	}
	if err := <-last; err != nil {
		t.Fatal(err)
	}
	wrote, syncs := time.Since(began), log.Syncs()
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	log, c, err := store.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	book, err := ledger.Read(c.Records)
	if err != nil || len(c.Records) != n || len(book.Open()) != (n/2+4)/5 {
		t.Fatalf("%d records, %d open, %v", len(c.Records), len(book.Open()), err)
	}
	t.Logf("%d records, %d bytes, written in %v with %d syncs; %d open plays recovered in %v", n, c.Bytes, wrote, syncs, len(book.Open()), time.Since(began))
}
