package benchproto

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"gullrail/decision"
	"gullrail/internal/convert"
	"gullrail/placement"
)

// instance is one front end: its module and the numbers that stand for the wire's names.
type instance struct {
	mod     decision.Policy
	terms   *convert.Settings
	nodes   map[string]int
	addr    []string
	titles  map[string]int
	viewers map[string]int
	plays   map[int64]decision.Handle
	jobs    []int64 // by place of the handle
	armed   int64   // when the earliest timer is due; 0 is none
	list    []decision.Node
}

// host is the state of the wire.
type host struct {
	out     *bufio.Writer
	at      map[int64]*instance
	who     int64
	now     int64
	batch   int64
	lineNo  int
	inBatch bool
	last    int64 // whose context the reply is in; -1 is none
	ln      line
	pages   [16][]row
	filled  [16]bool
	rows    int // ROW lines still to come
	page    int64
	failed  bool
}

// row is a line of a list, read but not yet numbered by an instance.
type row struct {
	phase      decision.Phase
	addr, zone string
	kind       string
	cell       int
	started    int64
	weight     float64
}

// decode takes one line in.
func (h *host) decode(s string) (err error) {
	h.lineNo++
	if s == "" {
		return nil
	}
	if err := split(s, &h.ln); err != nil {
		return err
	}
	defer func() {
		if r := recover(); r != nil {
			if fe, ok := r.(fieldError); ok {
				err = fmt.Errorf("%s: %w", h.ln.name, fe)
				return
			}
			fmt.Fprintf(os.Stderr, "drill: panic: %v\n%s", r, debug.Stack())
			if !h.failed {
				h.failed = true
				h.context()
				text := strings.ReplaceAll(fmt.Sprint(r), "\n", " ")
				fmt.Fprintf(h.out, "BAIL_OUT note-text=%s\n", text)
			}
		}
	}()
	ln := &h.ln
	if h.rows > 0 && ln.name != "ROW" {
		return fmt.Errorf("%s: %d rows of list %d are missing", ln.name, h.rows, h.page)
	}
	switch ln.name {
	case "MARK":
		if h.inBatch {
			return fmt.Errorf("MARK: the batch before it has no EOB")
		}
		h.now, h.batch, h.inBatch, h.last, h.lineNo = convert.Ticks(ln.number("ts-ms")), ln.whole("n"), true, -1, 1
		return nil
	case "EOB":
		if !h.inBatch {
			return fmt.Errorf("EOB: no batch is open")
		}
		h.inBatch = false
		fmt.Fprintf(h.out, "ACK n=%d\n", h.batch)
		return h.out.Flush()
	}
	if !h.inBatch {
		return fmt.Errorf("%s: outside a batch", ln.name)
	}
	switch ln.name {
	case "TO":
		h.who = ln.whole("who")
	case "DEFINE_LIST":
		h.page, h.rows = ln.whole("page"), int(ln.whole("records"))
		if h.page < 0 || h.page >= int64(len(h.pages)) {
			return fmt.Errorf("DEFINE_LIST: field page: %d is not a list number", h.page)
		}
		if h.rows < 0 {
			return fmt.Errorf("DEFINE_LIST: field records: below 0")
		}
		h.pages[h.page], h.filled[h.page] = h.pages[h.page][:0], true
	case "ROW":
		if h.rows == 0 {
			return fmt.Errorf("ROW: no list is open")
		}
		h.rows--
		h.pages[h.page] = append(h.pages[h.page], readRow(ln))
	case "SPAWN":
		return h.spawn()
	case "POWER_OFF":
		delete(h.at, h.who)
	default:
		if !h.failed {
			return h.event()
		}
	}
	return nil
}

func readRow(ln *line) row {
	r := row{addr: ln.text("node"), zone: ln.text("campus"), kind: ln.text("generation-hw"),
		cell: int(ln.whole("place")), started: convert.Ticks(ln.numberOr("ready-at-ms", 0)),
		weight: ln.numberOr("heft", 1)}
	switch p := ln.text("phase"); p {
	case "ready":
		r.phase = decision.Ready
	case "draining":
		r.phase = decision.Draining
	case "gone":
		r.phase = decision.Gone
	default:
		panic(wrong("phase", "unknown: "+p))
	}
	return r
}

func (h *host) spawn() error {
	seed, err := strconv.ParseUint(h.ln.text("random-seed"), 10, 64)
	if err != nil {
		return fmt.Errorf("SPAWN: %w", wrong("random-seed", "not a whole number"))
	}
	t, err := convert.Parse(h.ln.text("config"))
	if err != nil {
		return fmt.Errorf("SPAWN: %w", err)
	}
	h.at[h.who] = &instance{mod: placement.New(t.PolicySettings, seed), terms: t, nodes: map[string]int{},
		titles: map[string]int{}, viewers: map[string]int{}, plays: map[int64]decision.Handle{}}
	return nil
}

// number gives a name its small number.
func number(m map[string]int, s string) int {
	n, ok := m[s]
	if !ok {
		n = len(m)
		m[s] = n
	}
	return n
}

func known(m map[string]int, field, s string) int {
	n, ok := m[s]
	if !ok {
		panic(wrong(field, "unknown name "+clip(s)))
	}
	return n
}

func (in *instance) node(addr string) int {
	n := number(in.nodes, addr)
	if n == len(in.addr) {
		in.addr = append(in.addr, addr)
	}
	return n
}

// want reads what INCOMING and EXISTING say of a viewer.
func (in *instance) want(ln *line, now int64) decision.Request {
	bits := ln.wholeOr("bits", 0)
	product := known(in.terms.Products, "service", ln.text("service"))
	asset := ln.text("asset")
	r := convert.Request{
		Product:   product,
		Title:     number(in.titles, asset),
		TitleName: asset,
		Viewer:    number(in.viewers, ln.text("object")),
		LeftMs:    ln.numberOr("left-ms", 0),
		FirstCell: int(ln.numberOr("start-cell", 0)),
		CellCount: int(ln.numberOr("span", 0)),
		MaxRung:   int(ln.numberOr("best-rung", 0)),
		Moved:     bits&8 != 0,
		Retry:     bits&16 != 0,
	}
	if bits&1 != 0 {
		r.HintMs = ln.numberOr("hint-ms", 0)
	}
	return r.PolicyRequest(now)
}

func (h *host) event() error {
	ln := &h.ln
	in := h.at[h.who]
	if in == nil {
		return nil // a killed instance hears nothing more
	}
	now := h.now
	switch ln.name {
	case "INCOMING":
		job := ln.whole("job")
		hd, res := in.mod.AddPlay(now, in.want(ln, now))
		in.bind(job, hd)
		h.encode(in, res)
	case "EXISTING":
		job := ln.whole("job")
		hd, res := in.mod.AdoptPlay(now, in.want(ln, now), in.node(ln.text("node")))
		in.bind(job, hd)
		h.encode(in, res)
	case "ANNOUNCE":
		return h.announce(in)
	case "TIMER":
		if in.armed != 0 && now >= in.armed {
			in.armed = 0
		}
		h.encode(in, in.mod.Wake(now))
	case "FROM_PEER":
		b, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(ln.text("bytes"), "-"))
		if err != nil {
			return fmt.Errorf("FROM_PEER: %w", wrong("bytes", "not base64"))
		}
		h.encode(in, in.mod.MessageReceived(now, int(ln.whole("by")), b))
	case "PING_RESULT":
		how, load := ln.ending(), ln.load(in.terms)
		h.encode(in, in.mod.ProbeEnded(now, in.node(ln.text("node")), how, load))
	case "ACK_FIRST", "UPDATE_OF", "RESPONSE", "CLIENT_LEFT":
		job := ln.whole("job")
		hd, ok := in.plays[job]
		if !ok {
			return nil // finished before
		}
		switch ln.name {
		case "ACK_FIRST":
			h.encode(in, in.mod.AttemptStarted(now, hd, int(ln.whole("send-no"))))
		case "UPDATE_OF":
			h.encode(in, in.update(ln, now, hd))
		case "CLIENT_LEFT":
			h.encode(in, in.mod.ViewerLeft(now, hd))
		case "RESPONSE":
			how, over := ln.ending(), ln.wholeOr("no-more", 0) == 1
			load := ln.load(in.terms)
			h.encode(in, in.mod.AttemptEnded(now, hd, int(ln.whole("send-no")), how, over, load))
			if over {
				delete(in.plays, job)
			}
		}
	}
	return nil
}

func (in *instance) update(ln *line, now int64, hd decision.Handle) *decision.Result {
	return convert.ApplyNote(in.mod, now, hd, int(ln.whole("topic")), ln.number("level"))
}

func (in *instance) bind(job int64, hd decision.Handle) {
	in.plays[job] = hd
	for int(hd.Index) >= len(in.jobs) {
		in.jobs = append(in.jobs, 0)
	}
	in.jobs[hd.Index] = job
}

func (h *host) announce(in *instance) error {
	how := h.ln.text("how")
	if how == "unavailable" {
		return nil // the old list holds
	}
	page := h.ln.whole("page")
	if page < 0 || page >= int64(len(h.pages)) || !h.filled[page] {
		return fmt.Errorf("ANNOUNCE: field page: list %d was never defined", page)
	}
	in.list = in.list[:0]
	for _, r := range h.pages[page] {
		in.list = append(in.list, convert.Row{Phase: r.phase, Name: r.addr, Kind: known(in.terms.Kinds, "generation-hw", r.kind),
			Zone: known(in.terms.Zones, "campus", r.zone), Cell: r.cell, StartedAt: r.started, Weight: r.weight}.Node(in.node(r.addr)))
	}
	h.encode(in, in.mod.UpdateNodes(h.now, in.list, how != "update"))
	return nil
}

func (h *host) context() {
	if h.last != h.who {
		fmt.Fprintf(h.out, "CONTEXT who=%d\n", h.who)
		h.last = h.who
	}
}

// encode writes what a call decided.
func (h *host) encode(in *instance, res *decision.Result) {
	if res == nil {
		return
	}
	for i := range res.Orders {
		o := &res.Orders[i]
		h.context()
		job := in.jobs[o.Play.Index]
		switch o.Action {
		case decision.Place:
			fmt.Fprintf(h.out, "GRADE job=%d rung=%d\n", job, o.Rung)
			fmt.Fprintf(h.out, "FORWARD job=%d not-past-ms=%s node=%s\n", job, millis(o.Until), in.addr[o.Node])
		case decision.Decline:
			if o.RetryAfter > 0 {
				fmt.Fprintf(h.out, "NOT_NOW job=%d come-back-ms=%s\n", job, millis(o.RetryAfter))
			} else {
				fmt.Fprintf(h.out, "NOT_NOW job=%d\n", job)
			}
			delete(in.plays, job)
		case decision.Fail:
			fmt.Fprintf(h.out, "GIVE_UP job=%d\n", job)
			delete(in.plays, job)
		case decision.SetRung:
			fmt.Fprintf(h.out, "GRADE job=%d rung=%d\n", job, o.Rung)
		case decision.Move:
			fmt.Fprintf(h.out, "MIGRATE job=%d\n", job)
		case decision.Cancel:
			fmt.Fprintf(h.out, "RECALL job=%d send-no=%d\n", job, o.Attempt)
		}
	}
	for _, n := range res.Probes {
		h.context()
		fmt.Fprintf(h.out, "SAMPLE node=%s\n", in.addr[n])
	}
	for _, t := range res.Messages {
		h.context()
		fmt.Fprintf(h.out, "NOTIFY dst=%d bytes=%s\n", t.To, base64.StdEncoding.EncodeToString(t.Bytes))
	}
	if res.WakeAt > 0 && (in.armed == 0 || res.WakeAt < in.armed) {
		h.context()
		in.armed = max(res.WakeAt, h.now+1)
		fmt.Fprintf(h.out, "ARM ref=1 in-ms=%s\n", millis(in.armed-h.now))
	}
}
