package main

import "time"

func init() { cases["hang"] = hang }

const (
	hangNodes   = 20
	hangEvery   = 40 * time.Millisecond // between two set-ups, for a title that four nodes hold
	hangAnswer  = 600 * time.Millisecond
	hangShort   = 2500 * time.Millisecond // the shortest session
	hangSpread  = 5 * time.Second         // how much longer others are, at most
	hangCalm    = 8 * time.Second
	hangLength  = 6 * time.Second
	hangAfter   = 6 * time.Second // of traffic after it
	hangWaiting = 10 * time.Second
)

// hang lets one of twenty nodes hang, three times another one, while sessions come to their end there.
func hang(b *bed) ([]string, error) {
	b.setPlaces(hangNodes)
	if err := b.start(hangNodes); err != nil {
		return nil, err
	}
	for _, n := range b.nodes {
		n.answerAfter, n.length, n.spread = hangAnswer, hangShort, hangSpread
	}
	v := newViewers(b, "127.0.0.2")
	traffic := func(d time.Duration) {
		for began := time.Now(); time.Since(began) < d; time.Sleep(hangEvery) {
			v.setUp(free)
		}
	}
	traffic(hangCalm)
	for _, n := range b.nodes[1:4] {
		if b.trouble {
			n.setHung(true)
		}
		traffic(hangLength)
		if b.trouble {
			n.setHung(false)
		}
		traffic(hangAfter)
	}
	time.Sleep(hangWaiting)
	_, broken := v.check()
	ended, late := v.checkReleases()
	b.logf("%d sessions came to their end, %d releases are missing or late", ended, len(late))
	return append(broken, late...), nil
}
