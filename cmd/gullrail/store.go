package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"gullrail/ledger"
	"gullrail/store"
)

type storeVerbs struct {
	Check storeCheck `cmd:"" help:"Read a store offline and tell whether it is whole; exit 1 with the place where it is not."`
	Dump  storeDump  `cmd:"" help:"Print the records of a store that can be had, one a line."`
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
	book, err := ledger.Read(c.Records)
	if err != nil {
		return fmt.Errorf("%s: %w", v.Folder, err)
	}
	fmt.Printf("%s: whole: segment %d, %d records, %d bytes, the last acknowledged is number %d, %d plays open\n", v.Folder, c.Segment,
		len(c.Records), c.Bytes, c.Acked, len(book.Open()))
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
		r, e := ledger.Decode(raw)
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
