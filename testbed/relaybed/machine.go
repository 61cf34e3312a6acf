package relaybed

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	listenBacklog   = 128
	fillDialTimeout = 30 * time.Millisecond // a dial that takes longer has met a full backlog
	maxFillers      = 16
)

// Machine is an address that playout node processes listen on, one after the other.
type Machine struct {
	Address string

	mu        sync.Mutex
	listener  *net.TCPListener
	process   *Process
	paused    bool
	resume    chan struct{}   // closed once accepting goes on
	fillers   []net.Conn      // connections that fill the backlog while the machine is unreachable
	fillerAt  map[string]bool // addresses of fillers that are not accepted yet; no process sees these connections
	closeFor  time.Duration   // connections are closed at once until closeFrom+closeFor
	closeFrom time.Time
}

// NewMachine returns a machine at a free loopback address without a process.
func NewMachine() (*Machine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &Machine{Address: l.Addr().String(), listener: l.(*net.TCPListener), resume: make(chan struct{}), fillerAt: map[string]bool{}}
	go m.acceptLoop(m.listener)
	return m, nil
}

// Run makes a process the one that accepts connections.
func (m *Machine) Run(p *Process) {
	m.mu.Lock()
	m.process = p
	m.mu.Unlock()
}

// Process returns the process that accepts connections.
func (m *Machine) Process() *Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

func (m *Machine) acceptLoop(l *net.TCPListener) {
	for {
		sock, err := l.Accept()
		m.mu.Lock()
		paused, resume, current := m.paused, m.resume, m.listener == l
		process, closeNow := m.process, time.Since(m.closeFrom) < m.closeFor
		filler := err == nil && m.fillerAt[sock.RemoteAddr().String()]
		if filler {
			delete(m.fillerAt, sock.RemoteAddr().String())
		}
		m.mu.Unlock()
		switch {
		case !current && err == nil:
			sock.Close()
			return
		case err != nil && paused:
			<-resume
		case err != nil:
			return
		case filler || closeNow || process == nil:
			reset(sock)
		default:
			process.accept(sock)
		}
	}
}

// Refuse closes the listening socket, so that dials are refused, until Listen is called.
func (m *Machine) Refuse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Close()
}

// Listen listens again on the machine's address.
func (m *Machine) Listen() error {
	l, err := net.Listen("tcp", m.Address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener = l.(*net.TCPListener)
	m.mu.Unlock()
	go m.acceptLoop(l.(*net.TCPListener))
	return nil
}

// CloseEarly resets each new connection at once for a time.
func (m *Machine) CloseEarly(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeFrom, m.closeFor = time.Now(), d
}

// Unreachable makes dials time out until Reachable is called: the backlog is full.
func (m *Machine) Unreachable() {
	m.mu.Lock()
	m.paused, m.resume = true, make(chan struct{})
	l := m.listener
	m.mu.Unlock()
	l.SetDeadline(time.Unix(1, 0)) // ends an Accept that waits
	setBacklog(l, 0)
	for range maxFillers {
		c, err := net.DialTimeout("tcp", m.Address, fillDialTimeout)
		if err != nil {
			return
		}
		m.mu.Lock()
		m.fillers = append(m.fillers, c)
		m.fillerAt[c.LocalAddr().String()] = true
		m.mu.Unlock()
	}
}

// Reachable ends Unreachable.
func (m *Machine) Reachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.fillers {
		c.Close()
	}
	m.fillers = nil
	setBacklog(m.listener, listenBacklog)
	m.listener.SetDeadline(time.Time{})
	if m.paused {
		m.paused = false
		close(m.resume)
	}
}

func setBacklog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Close stops listening and ends the process.
func (m *Machine) Close() {
	m.Reachable()
	m.mu.Lock()
	m.listener.Close()
	p := m.process
	m.mu.Unlock()
	if p != nil {
		p.Die()
	}
}

// reset closes a connection so that its peer meets a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
