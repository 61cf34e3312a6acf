package main

import "time"

func init() { cases["hang"] = hang }

const (
	hangNodes  = 20
	hangCalm   = 3 * time.Second
	hangCrowd  = 80              // set-ups that come at once
	hangAfter  = 2 * time.Second // from the crowd to the hang
	hangLength = 6 * time.Second
	hangEnd    = 10 * time.Second // of usual traffic after it
)

// hang lets one of twenty nodes hang while sessions of a crowd come to their end there.
func hang(b *bed) ([]string, error) {
	b.setPlaces(hangNodes)
	if err := b.start(hangNodes); err != nil {
		return nil, err
	}
	for _, n := range b.nodes {
		n.answerAfter, n.length, n.spread = 250*time.Millisecond, 2500*time.Millisecond, 5*time.Second
	}
	v := newViewers(b, "127.0.0.2")
	traffic := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(2 * usualEvery) {
			v.setUp(free)
		}
	}
	traffic(hangCalm)
	b.logf("a crowd comes")
	for range hangCrowd {
		go v.setUp(free)
		time.Sleep(3 * time.Millisecond)
	}
	traffic(hangAfter)
	if b.trouble {
		b.nodes[1].setHung(true)
	}
	traffic(hangLength)
	if b.trouble {
		b.nodes[1].setHung(false)
	}
	traffic(hangEnd)
	_, broken := v.check()
	ended, late := v.checkReleases()
	b.logf("%d sessions came to their end, %d releases are missing or late", ended, len(late))
	return append(broken, late...), nil
}
