package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"gullrail/frontend"
	"gullrail/playlog"
	"gullrail/store"
)

type storeVerbs struct {
	Check storeCheck `cmd:"" help:"Read a store offline and tell whether it is whole; exit 1 with the place where it is not."`
	Dump  storeDump  `cmd:"" help:"Print the records of a store that can be had, one a line."`

	Compact storeCompact `cmd:"" help:"Bring the store of a front that does not run down to what is needed."`
	Salvage storeSalvage `cmd:"" help:"Write what can be had of a damaged store into a new folder, and tell what is missing."`
}

type storeFolder struct {
	Folder string `arg:"" help:"The store: the folder 'plays' in a front's state folder." type:"existingdir"`
}

type storeCheck struct{ storeFolder }

func (v *storeCheck) Run() error {
	c, err := store.Inspect(store.Folder(v.Folder))
	if err != nil {
		if c != nil {
			fmt.Printf("%s: before the damage: %d records, %d bytes\n", v.Folder, len(c.Records), c.Bytes)
		}
		return fmt.Errorf("%s: %w", v.Folder, err)
	}
	book, err := playlog.Read(c.Records)
	if err != nil {
		return fmt.Errorf("%s: %w", v.Folder, err)
	}
	fmt.Printf("%s: whole: segment %d, %d records, %d bytes, the last acknowledged is number %d, %d plays open\n", v.Folder, c.Segment,
		len(c.Records), c.Bytes, c.Acked, len(book.OpenPlays()))
	return nil
}

type storeDump struct{ storeFolder }

func (v *storeDump) Run() error {
	c, err := store.Inspect(store.Folder(v.Folder))
	if c == nil {
		return fmt.Errorf("%s: %w", v.Folder, err)
	}
	enc := json.NewEncoder(os.Stdout)
	for i, raw := range c.Records {
		r, e := playlog.Decode(raw)
		if e != nil {
			err = errors.Join(err, fmt.Errorf("record %d: %w", c.First+uint64(i), e))
			continue
		}
		if e := enc.Encode(r); e != nil {
			return e
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", v.Folder, err)
	}
	return nil
}

type storeCompact struct{ storeFolder }

func (v *storeCompact) Run() error {
	c, err := frontend.CompactStore(v.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d records of %d kept, %d bytes of %d\n", v.Folder, c.RecordsAfter, c.RecordsBefore, c.BytesAfter, c.BytesBefore)
	return nil
}

type storeSalvage struct {
	storeFolder
	Into string `arg:"" help:"The folder to write; it must not exist." type:"path"`
}

func (v *storeSalvage) Run() error {
	s, err := frontend.SalvageStore(v.Folder, v.Into)
	for _, g := range s.Gaps {
		fmt.Printf("%s: bytes %d to %d: %d records missing: %s\n", g.File, g.From, g.To, g.Records, g.What)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d records found, at least %d missing, %d plays open\n", v.Into, s.Records, s.Lost, s.Open)
	return nil
}
