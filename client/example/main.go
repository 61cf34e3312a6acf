// Command example plays one title over a WebSocket and prints the segments and events that it receives.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"

	"gullrail/client"
	"gullrail/playapi"
)

type arguments struct {
	Front   []string      `help:"Addresses of fronts, as host:port." required:""`
	Title   string        `help:"Title to play." required:""`
	Product string        `help:"Product to play it as." required:""`
	Viewer  string        `help:"Name of the viewer." default:"example"`
	For     time.Duration `help:"End the play after this time." default:"20s"`
}

func main() {
	var args arguments
	kong.Parse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args arguments) error {
	ctx, cancel := context.WithTimeout(ctx, args.For)
	defer cancel()
	c := client.New(client.Options{Fronts: args.Front, Viewer: args.Viewer})
	defer c.Close()
	play, err := c.RequestPlay(ctx, client.Request{Title: args.Title, Product: args.Product, MaxRung: -1, MaxRetries: 5})
	if err != nil {
		return err
	}
	fmt.Println("plays", play.Grant().Base)
	for number := 1; ctx.Err() == nil; number++ {
		grant := play.Grant()
		if err := fetchSegment(ctx, grant, number); err != nil {
			fmt.Println("segment", number, err)
		}
		tick := time.After(time.Duration(grant.SegmentMs) * time.Millisecond)
	wait:
		for {
			select {
			case event, ok := <-play.Events():
				if !ok {
					return fmt.Errorf("the play has ended")
				}
				fmt.Println("event", event.Kind, event.Reason, len(event.Grant.Rungs), "rungs")
			case <-tick:
				break wait
			case <-ctx.Done():
				return nil
			}
		}
	}
	return nil
}

func fetchSegment(ctx context.Context, grant playapi.Grant, number int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s%s/%d.m4s", grant.Base, grant.Rungs[len(grant.Rungs)-1].ID, number), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	size, err := io.Copy(io.Discard, resp.Body)
	fmt.Println("segment", number, resp.Status, size, "bytes")
	return err
}
