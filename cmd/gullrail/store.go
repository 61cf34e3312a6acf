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

type storeCommands struct {
	Check storeCheck `cmd:"" help:"Check the integrity of a store; exits with 1 and the position of the damage if it is corrupt."`
	Dump  storeDump  `cmd:"" help:"Print the readable records of a store as JSON, one per line."`

	Compact storeCompact `cmd:"" help:"Compact the store of a stopped front end: drop records that are no longer needed."`
	Salvage storeSalvage `cmd:"" help:"Copy the readable records of a damaged store to a new folder and list what is missing."`
}

type storeArgument struct {
	Folder string `arg:"" help:"The store: the folder 'plays' in a front end's state folder." type:"existingdir"`
}

type storeCheck struct{ storeArgument }

func (c *storeCheck) Run() error {
	contents, err := store.Inspect(store.Dir(c.Folder))
	if err != nil {
		if contents != nil {
			fmt.Printf("%s: before the damage: %d records, %d bytes\n", c.Folder, len(contents.Records), contents.Bytes)
		}
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	plays, err := playlog.Read(contents.Records)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	fmt.Printf("%s: whole: segment %d, %d records, %d bytes, the last acknowledged is number %d, %d plays open\n", c.Folder, contents.Segment,
		len(contents.Records), contents.Bytes, contents.Acked, len(plays.OpenPlays()))
	return nil
}

type storeDump struct{ storeArgument }

func (c *storeDump) Run() error {
	contents, err := store.Inspect(store.Dir(c.Folder))
	if contents == nil {
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	enc := json.NewEncoder(os.Stdout)
	for i, raw := range contents.Records {
		record, recordErr := playlog.Decode(raw)
		if recordErr != nil {
			err = errors.Join(err, fmt.Errorf("record %d: %w", contents.First+uint64(i), recordErr))
			continue
		}
		if recordErr := enc.Encode(record); recordErr != nil {
			return recordErr
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	return nil
}

type storeCompact struct{ storeArgument }

func (c *storeCompact) Run() error {
	result, err := frontend.CompactStore(c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d records of %d kept, %d bytes of %d\n", c.Folder, result.RecordsAfter, result.RecordsBefore, result.BytesAfter, result.BytesBefore)
	return nil
}

type storeSalvage struct {
	storeArgument
	Into string `arg:"" help:"Folder to create; must not exist." type:"path"`
}

func (c *storeSalvage) Run() error {
	result, err := frontend.SalvageStore(c.Folder, c.Into)
	for _, gap := range result.Gaps {
		fmt.Printf("%s: bytes %d to %d: %d records missing: %s\n", gap.File, gap.From, gap.To, gap.Records, gap.Reason)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d records found, at least %d missing, %d plays open\n", c.Into, result.Records, result.Lost, result.Open)
	return nil
}
