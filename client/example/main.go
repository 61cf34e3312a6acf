// Command example plays one title on a socket and prints what happens.
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
	Front   []string      `help:"Fronts, host:port." required:""`
	Title   string        `help:"What to play." required:""`
	Product string        `help:"As which product." required:""`
	Viewer  string        `help:"The viewer's name." default:"example"`
	For     time.Duration `help:"Leave after this." default:"20s"`
}

func main() {
	var a arguments
	kong.Parse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a arguments) error {
	ctx, cancel := context.WithTimeout(ctx, a.For)
	defer cancel()
	c := client.New(client.Options{Fronts: a.Front, Viewer: a.Viewer})
	defer c.Close()
	play, err := c.RequestPlay(ctx, client.Request{Title: a.Title, Product: a.Product, MaxRung: -1, MaxRetries: 5})
	if err != nil {
		return err
	}
	fmt.Println("plays", play.Grant().Base)
	for n := 1; ctx.Err() == nil; n++ {
		g := play.Grant()
		if err := segment(ctx, g, n); err != nil {
			fmt.Println("segment", n, err)
		}
		tick := time.After(time.Duration(g.Segment) * time.Millisecond)
	wait:
		for {
			select {
			case e, ok := <-play.Events():
				if !ok {
					return fmt.Errorf("the play ended")
				}
				fmt.Println("event", e.Kind, e.Reason, len(e.Grant.Rungs), "rungs")
			case <-tick:
				break wait
			case <-ctx.Done():
				return nil
			}
		}
	}
	return nil
}

func segment(ctx context.Context, g playapi.Grant, n int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s%s/%d.m4s", g.Base, g.Rungs[len(g.Rungs)-1].ID, n), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.Copy(io.Discard, resp.Body)
	fmt.Println("segment", n, resp.Status, got, "bytes")
	return err
}
