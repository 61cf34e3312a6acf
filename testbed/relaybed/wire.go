package relaybed

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Types of the binary messages between a front end and a playout node.
const (
	typeSetUp      byte = 1
	typeAnswer     byte = 9
	typeRelease    byte = 12
	typeReleaseAck byte = 16
	typeNote       byte = 44
)

// Parameter codes of the binary messages.
const (
	codeProduct     byte = 64
	codeWait        byte = 67
	codeNoteName    byte = 85
	codeReport      byte = 91
	codeNoteValue   byte = 100
	codeCause       byte = 106
	codeDescription byte = 109
)

// Causes of a release.
const (
	causeEnded byte = 16
	causeFull  byte = 34
	causeReset byte = 41
	causeError byte = 47
	causeMoot  byte = 102
)

const (
	minNodeMessage = 9       // bytes: type and session
	maxBody        = 1 << 20 // bytes of an RTSP body that a stand-in accepts
)

var errMalformed = errors.New("malformed message")

// parameter is one parameter of a binary message.
type parameter struct {
	code  byte
	value string
}

// nodeMessage is a binary message between a front end and a playout node.
type nodeMessage struct {
	kind       byte
	session    uint64
	parameters []parameter
}

// get returns the value of a parameter, or "".
func (m nodeMessage) get(code byte) string {
	for _, p := range m.parameters {
		if p.code == code {
			return p.value
		}
	}
	return ""
}

func (m nodeMessage) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, m.kind}, m.session)
	for _, p := range m.parameters {
		b = append(b, p.code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.value)))
		b = append(b, p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

func releaseMessage(session uint64, cause byte) nodeMessage {
	return nodeMessage{typeRelease, session, []parameter{{codeCause, string([]byte{cause})}}}
}

func readNodeMessage(in *bufio.Reader) (m nodeMessage, err error) {
	var length [2]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return m, err
	}
	b := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(in, b); err != nil {
		return m, err
	}
	if len(b) < minNodeMessage {
		return m, errMalformed
	}
	m.kind, m.session = b[0], binary.BigEndian.Uint64(b[1:])
	for b = b[minNodeMessage:]; len(b) > 0; {
		if len(b) < 3 || len(b) < 3+int(binary.BigEndian.Uint16(b[1:])) {
			return m, errMalformed
		}
		end := 3 + int(binary.BigEndian.Uint16(b[1:]))
		m.parameters = append(m.parameters, parameter{b[0], string(b[3:end])})
		b = b[end:]
	}
	return m, nil
}

// rtspMessage is a message between a viewer and a front end.
type rtspMessage struct {
	method string // of a request
	status int    // of an answer
	header map[string]string
	body   string
}

func (m rtspMessage) session() uint64 {
	id, err := strconv.ParseUint(m.header["session"], 16, 64)
	if err != nil {
		return 0
	}
	return id
}

func readRTSP(in *bufio.Reader) (m rtspMessage, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return m, err
	}
	parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
	if len(parts) < 2 {
		return m, fmt.Errorf("%w: start line %q", errMalformed, line)
	}
	if parts[0] == "RTSP/1.0" {
		if m.status, err = strconv.Atoi(parts[1]); err != nil {
			return m, fmt.Errorf("%w: start line %q", errMalformed, line)
		}
	} else {
		m.method = parts[0]
	}
	m.header = map[string]string{}
	for {
		if line, err = in.ReadString('\n'); err != nil {
			return m, err
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return m, fmt.Errorf("%w: header line %q", errMalformed, line)
		}
		m.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	length, err := strconv.Atoi(m.header["content-length"])
	if err != nil || length < 0 || length > maxBody {
		return m, fmt.Errorf("%w: Content-Length %q", errMalformed, m.header["content-length"])
	}
	body := make([]byte, length)
	_, err = io.ReadFull(in, body)
	m.body = string(body)
	return m, err
}

const testRequest = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"

// setUpText returns a viewer's set-up. node is empty, or where the session stands that is handed over.
func setUpText(s *Session, node string) string {
	at := ""
	if node != "" {
		at = ";at:" + node
	}
	body := fmt.Sprintf("v=0\r\no=%016x\r\n", s.ID)
	return fmt.Sprintf("SETUP rtsp://media/%s RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nPriority-Class: %s\r\nExpires-Ms: %d\r\nX-Guess: 9000.0\r\n"+
		"P-Trunk-Info: home:%d;copies:%d;top:4%s;viewer:%016x\r\nContent-Length: %d\r\n\r\n%s",
		s.title, s.ID, s.class, s.expires.Milliseconds(), s.firstCell, s.cellCount, at, s.ID*0x9e3779b97f4a7c15, len(body), body)
}

// tearDownText returns a viewer's TEARDOWN; without a cause it gives up a set-up.
func tearDownText(session uint64, cause int) string {
	reason := ""
	if cause > 0 {
		reason = fmt.Sprintf("Reason: cause=%d\r\n", cause)
	}
	return fmt.Sprintf("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: %016x\r\n%sContent-Length: 0\r\n\r\n", session, reason)
}
