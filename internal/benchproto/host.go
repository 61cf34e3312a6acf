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

// instance is one front end: its policy, and the numbers assigned to the names of the protocol.
type instance struct {
	policy      decision.Policy
	settings    *convert.Settings
	nodes       map[string]int
	addresses   []string
	titles      map[string]int
	viewers     map[string]int
	plays       map[int64]decision.Handle
	jobsByIndex []int64 // by Handle.Index
	timerDueAt  int64   // when the earliest timer is due; 0 if none
	list        []decision.Node
}

// host is the state of the protocol.
type host struct {
	out         *bufio.Writer
	instances   map[int64]*instance
	current     int64 // instance that the input addresses
	now         int64
	batch       int64
	lineNo      int
	inBatch     bool
	lastContext int64 // instance of the last CONTEXT line in the reply; -1 if none
	msg         message
	lists       [16][]row // by list number
	defined     [16]bool
	rowsLeft    int // ROW lines still missing
	currentList int64
	panicked    bool
}

// row is a line of a node list, before names are mapped to the numbers of an instance.
type row struct {
	phase      decision.Phase
	addr, zone string
	kind       string
	cell       int
	startedAt  int64
	weight     float64
}

// decode processes one line of input.
func (h *host) decode(line string) (err error) {
	h.lineNo++
	if line == "" {
		return nil
	}
	if err := parseMessage(line, &h.msg); err != nil {
		return err
	}
	defer func() {
		if r := recover(); r != nil {
			if fe, ok := r.(fieldError); ok {
				err = fmt.Errorf("%s: %w", h.msg.name, fe)
				return
			}
			fmt.Fprintf(os.Stderr, "drill: panic: %v\n%s", r, debug.Stack())
			if !h.panicked {
				h.panicked = true
				h.writeContext()
				text := strings.ReplaceAll(fmt.Sprint(r), "\n", " ")
				fmt.Fprintf(h.out, "BAIL_OUT note-text=%s\n", text)
			}
		}
	}()
	msg := &h.msg
	if h.rowsLeft > 0 && msg.name != "ROW" {
		return fmt.Errorf("%s: %d rows of list %d are missing", msg.name, h.rowsLeft, h.currentList)
	}
	switch msg.name {
	case "MARK":
		if h.inBatch {
			return fmt.Errorf("MARK: the previous batch has no EOB")
		}
		h.now, h.batch, h.inBatch, h.lastContext, h.lineNo = convert.Ticks(msg.number("ts-ms")), msg.integer("n"), true, -1, 1
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
		return fmt.Errorf("%s: outside a batch", msg.name)
	}
	switch msg.name {
	case "TO":
		h.current = msg.integer("who")
	case "DEFINE_LIST":
		h.currentList, h.rowsLeft = msg.integer("page"), int(msg.integer("records"))
		if h.currentList < 0 || h.currentList >= int64(len(h.lists)) {
			return fmt.Errorf("DEFINE_LIST: field page: %d is not a list number", h.currentList)
		}
		if h.rowsLeft < 0 {
			return fmt.Errorf("DEFINE_LIST: field records: negative")
		}
		h.lists[h.currentList], h.defined[h.currentList] = h.lists[h.currentList][:0], true
	case "ROW":
		if h.rowsLeft == 0 {
			return fmt.Errorf("ROW: no list is open")
		}
		h.rowsLeft--
		h.lists[h.currentList] = append(h.lists[h.currentList], readRow(msg))
	case "SPAWN":
		return h.startInstance()
	case "POWER_OFF":
		delete(h.instances, h.current)
	default:
		if !h.panicked {
			return h.handleEvent()
		}
	}
	return nil
}

func readRow(msg *message) row {
	r := row{addr: msg.text("node"), zone: msg.text("campus"), kind: msg.text("generation-hw"),
		cell: int(msg.integer("place")), startedAt: convert.Ticks(msg.numberOr("ready-at-ms", 0)),
		weight: msg.numberOr("heft", 1)}
	switch p := msg.text("phase"); p {
	case "ready":
		r.phase = decision.Ready
	case "draining":
		r.phase = decision.Draining
	case "gone":
		r.phase = decision.Gone
	default:
		panic(newFieldError("phase", "unknown: "+p))
	}
	return r
}

func (h *host) startInstance() error {
	seed, err := strconv.ParseUint(h.msg.text("random-seed"), 10, 64)
	if err != nil {
		return fmt.Errorf("SPAWN: %w", newFieldError("random-seed", "not a whole number"))
	}
	settings, err := convert.Parse(h.msg.text("config"))
	if err != nil {
		return fmt.Errorf("SPAWN: %w", err)
	}
	h.instances[h.current] = &instance{policy: placement.New(settings.PolicySettings, seed), settings: settings, nodes: map[string]int{},
		titles: map[string]int{}, viewers: map[string]int{}, plays: map[int64]decision.Handle{}}
	return nil
}

// assignNumber returns the number of a name, and assigns the next one if it is new.
func assignNumber(m map[string]int, s string) int {
	n, ok := m[s]
	if !ok {
		n = len(m)
		m[s] = n
	}
	return n
}

func lookUp(m map[string]int, field, s string) int {
	n, ok := m[s]
	if !ok {
		panic(newFieldError(field, "unknown name "+truncate(s)))
	}
	return n
}

func (in *instance) nodeIndex(addr string) int {
	n := assignNumber(in.nodes, addr)
	if n == len(in.addresses) {
		in.addresses = append(in.addresses, addr)
	}
	return n
}

// readRequest parses the request in INCOMING and EXISTING.
func (in *instance) readRequest(msg *message, now int64) decision.Request {
	bits := msg.integerOr("bits", 0)
	product := lookUp(in.settings.Products, "service", msg.text("service"))
	asset := msg.text("asset")
	req := convert.Request{
		Product:     product,
		Title:       assignNumber(in.titles, asset),
		TitleName:   asset,
		Viewer:      assignNumber(in.viewers, msg.text("object")),
		RemainingMs: msg.numberOr("left-ms", 0),
		FirstCell:   int(msg.numberOr("start-cell", 0)),
		CellCount:   int(msg.numberOr("span", 0)),
		MaxRung:     int(msg.numberOr("best-rung", 0)),
		Moved:       bits&8 != 0,
		Retry:       bits&16 != 0,
	}
	if bits&1 != 0 {
		req.LengthHintMs = msg.numberOr("hint-ms", 0)
	}
	return req.PolicyRequest(now)
}

func (h *host) handleEvent() error {
	msg := &h.msg
	in := h.instances[h.current]
	if in == nil {
		return nil // the instance was stopped
	}
	now := h.now
	switch msg.name {
	case "INCOMING":
		job := msg.integer("job")
		handle, res := in.policy.AddPlay(now, in.readRequest(msg, now))
		in.bind(job, handle)
		h.writeResult(in, res)
	case "EXISTING":
		job := msg.integer("job")
		handle, res := in.policy.AdoptPlay(now, in.readRequest(msg, now), in.nodeIndex(msg.text("node")))
		in.bind(job, handle)
		h.writeResult(in, res)
	case "ANNOUNCE":
		return h.applyList(in)
	case "TIMER":
		if in.timerDueAt != 0 && now >= in.timerDueAt {
			in.timerDueAt = 0
		}
		h.writeResult(in, in.policy.Wake(now))
	case "FROM_PEER":
		b, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(msg.text("bytes"), "-"))
		if err != nil {
			return fmt.Errorf("FROM_PEER: %w", newFieldError("bytes", "not base64"))
		}
		h.writeResult(in, in.policy.MessageReceived(now, int(msg.integer("by")), b))
	case "PING_RESULT":
		outcome, load := msg.outcome(), msg.load(in.settings)
		h.writeResult(in, in.policy.ProbeEnded(now, in.nodeIndex(msg.text("node")), outcome, load))
	case "ACK_FIRST", "UPDATE_OF", "RESPONSE", "CLIENT_LEFT":
		job := msg.integer("job")
		handle, ok := in.plays[job]
		if !ok {
			return nil // the play has already finished
		}
		switch msg.name {
		case "ACK_FIRST":
			h.writeResult(in, in.policy.AttemptStarted(now, handle, int(msg.integer("send-no"))))
		case "UPDATE_OF":
			h.writeResult(in, in.applyNote(msg, now, handle))
		case "CLIENT_LEFT":
			h.writeResult(in, in.policy.ViewerLeft(now, handle))
		case "RESPONSE":
			outcome, finished := msg.outcome(), msg.integerOr("no-more", 0) == 1
			load := msg.load(in.settings)
			h.writeResult(in, in.policy.AttemptEnded(now, handle, int(msg.integer("send-no")), outcome, finished, load))
			if finished {
				delete(in.plays, job)
			}
		}
	}
	return nil
}

func (in *instance) applyNote(msg *message, now int64, handle decision.Handle) *decision.Result {
	return convert.ApplyNote(in.policy, now, handle, int(msg.integer("topic")), msg.number("level"))
}

func (in *instance) bind(job int64, handle decision.Handle) {
	in.plays[job] = handle
	for int(handle.Index) >= len(in.jobsByIndex) {
		in.jobsByIndex = append(in.jobsByIndex, 0)
	}
	in.jobsByIndex[handle.Index] = job
}

func (h *host) applyList(in *instance) error {
	how := h.msg.text("how")
	if how == "unavailable" {
		return nil // the previous list stays in force
	}
	number := h.msg.integer("page")
	if number < 0 || number >= int64(len(h.lists)) || !h.defined[number] {
		return fmt.Errorf("ANNOUNCE: field page: list %d was never defined", number)
	}
	in.list = in.list[:0]
	for _, r := range h.lists[number] {
		in.list = append(in.list, convert.Row{Phase: r.phase, Name: r.addr, Kind: lookUp(in.settings.Kinds, "generation-hw", r.kind),
			Zone: lookUp(in.settings.Zones, "campus", r.zone), Cell: r.cell, StartedAt: r.startedAt, Weight: r.weight}.Node(in.nodeIndex(r.addr)))
	}
	h.writeResult(in, in.policy.UpdateNodes(h.now, in.list, how != "update"))
	return nil
}

func (h *host) writeContext() {
	if h.lastContext != h.current {
		fmt.Fprintf(h.out, "CONTEXT who=%d\n", h.current)
		h.lastContext = h.current
	}
}

// writeResult writes the decisions of a call.
func (h *host) writeResult(in *instance, res *decision.Result) {
	if res == nil {
		return
	}
	for i := range res.Orders {
		o := &res.Orders[i]
		h.writeContext()
		job := in.jobsByIndex[o.Play.Index]
		switch o.Action {
		case decision.Place:
			fmt.Fprintf(h.out, "GRADE job=%d rung=%d\n", job, o.Rung)
			fmt.Fprintf(h.out, "FORWARD job=%d not-past-ms=%s node=%s\n", job, formatMillis(o.Deadline), in.addresses[o.Node])
		case decision.Decline:
			if o.RetryAfter > 0 {
				fmt.Fprintf(h.out, "NOT_NOW job=%d come-back-ms=%s\n", job, formatMillis(o.RetryAfter))
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
		h.writeContext()
		fmt.Fprintf(h.out, "SAMPLE node=%s\n", in.addresses[n])
	}
	for _, t := range res.Messages {
		h.writeContext()
		fmt.Fprintf(h.out, "NOTIFY dst=%d bytes=%s\n", t.To, base64.StdEncoding.EncodeToString(t.Bytes))
	}
	if res.WakeAt > 0 && (in.timerDueAt == 0 || res.WakeAt < in.timerDueAt) {
		h.writeContext()
		in.timerDueAt = max(res.WakeAt, h.now+1)
		fmt.Fprintf(h.out, "ARM ref=1 in-ms=%s\n", formatMillis(in.timerDueAt-h.now))
	}
}
