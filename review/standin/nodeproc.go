package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runNodeProcess is a playout node as a process of its own. Its arguments are its name and the length of its sessions in
// milliseconds. It listens on the socket that it has inherited as descriptor 3, if inherits, or else on a free port. It writes its
// address and then its record to standard output, and ends with its standard input. When it dies its connections are reset.
func runNodeProcess(name string, sessionMs int, inherits bool) int {
	rec := &record{file: os.Stdout, start: time.Now()}
	n := newNode(name, rec, answerAfter(60*time.Millisecond, time.Duration(sessionMs)*time.Millisecond))
	n.noteEach = 3 * time.Second
	var l net.Listener
	var err error
	if inherits {
		l, err = net.FileListener(os.NewFile(3, "socket"))
	} else {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(l.Addr())
	go n.runNotes(nil)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetLinger(0)
			n.accept(c)
		}
	}()
	io.Copy(io.Discard, os.Stdin)
	return 0
}

// nodeProcess is such a process as its starter sees it.
type nodeProcess struct {
	name    string
	address string
	cmd     *exec.Cmd
	stdin   io.Closer
	done    chan struct{}
	mu      sync.Mutex
	release map[uint64]time.Time // when it wrote that it releases a session
}

// startNodeProcess starts a node, on a socket that it inherits unless that is nil.
func startNodeProcess(name string, sessionMs int, socket *os.File, rec *record) (*nodeProcess, error) {
	p := &nodeProcess{name: name, cmd: exec.Command("/proc/self/exe", "node", name, strconv.Itoa(sessionMs), strconv.FormatBool(socket != nil)), done: make(chan struct{}), release: map[uint64]time.Time{}}
	p.cmd.Stderr = os.Stderr
	if socket != nil {
		p.cmd.ExtraFiles = []*os.File{socket}
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.stdin = stdin
	in := bufio.NewScanner(out)
	if !in.Scan() {
		p.cmd.Process.Kill()
		p.cmd.Wait()
		return nil, fmt.Errorf("%s does not start", name)
	}
	p.address = in.Text()
	go func() {
		defer close(p.done)
		for in.Scan() {
			_, text, _ := strings.Cut(strings.TrimLeft(in.Text(), " "), "  ")
			rec.logf("%s", text)
			var id uint64
			if rest, ok := strings.CutPrefix(text, name+" releases "); ok {
				if _, err := fmt.Sscanf(rest, "%x", &id); err == nil {
					p.mu.Lock()
					p.release[id] = time.Now()
					p.mu.Unlock()
				}
			}
		}
	}()
	return p, nil
}

func (p *nodeProcess) releasedAt(id uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.release[id]
}

// close ends the process, also one that is stopped.
func (p *nodeProcess) close() {
	p.cmd.Process.Kill()
	p.stdin.Close()
	<-p.done
	p.cmd.Wait()
}
