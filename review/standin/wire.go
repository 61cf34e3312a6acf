package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Types and parameter codes of the binary messages, as the protocol page lists them.
const (
	typeSetUp   = 1
	typeAnswer  = 9
	typeRelease = 12
	typeHeard   = 16
	typeNote    = 44
	typeRung    = 60

	codeClass       = 64
	codeWait        = 67
	codeTitle       = 76
	codeNote        = 85
	codeReport      = 91
	codeRung        = 97
	codeFigure      = 100
	codeCause       = 106
	codeDescription = 109
)

// binaryMessage is one message between a front end and a playout node.
type binaryMessage struct {
	kind    byte
	session uint64
	params  map[byte]string
}

func (m binaryMessage) cause() int {
	if v := m.params[codeCause]; len(v) == 1 {
		return int(v[0])
	}
	return -1
}

// param is one parameter of a binary message to be written.
type param struct {
	code  byte
	value string
}

func encodeBinary(kind byte, session uint64, params ...param) []byte {
	b := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, session)
	for _, p := range params {
		b = append(b, p.code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.value)))
		b = append(b, p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

func readBinary(in *bufio.Reader) (binaryMessage, error) {
	var length [2]byte
	if _, err := io.ReadFull(in, length[:]); err != nil {
		return binaryMessage{}, err
	}
	b := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(in, b); err != nil {
		return binaryMessage{}, err
	}
	if len(b) < 9 {
		return binaryMessage{}, errors.New("binary message too short")
	}
	m := binaryMessage{b[0], binary.BigEndian.Uint64(b[1:]), map[byte]string{}}
	for b = b[9:]; len(b) > 0; {
		if len(b) < 3 || len(b) < 3+int(binary.BigEndian.Uint16(b[1:])) {
			return m, errors.New("binary message with a truncated parameter")
		}
		n := int(binary.BigEndian.Uint16(b[1:]))
		m.params[b[0]] = string(b[3 : 3+n])
		b = b[3+n:]
	}
	return m, nil
}

// rtspMessage is one message between a viewer and a front end.
type rtspMessage struct {
	method, uri string // of a request
	status      int    // of an answer
	header      map[string]string
	body        string
}

// what names the message in the record: the method of a request or the status of an answer.
func (m rtspMessage) what() string {
	if m.method != "" {
		return m.method
	}
	return strconv.Itoa(m.status)
}

func readRTSP(in *bufio.Reader) (m rtspMessage, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return m, err
	}
	parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
	if len(parts) < 2 {
		return m, fmt.Errorf("start line %q", line)
	}
	if parts[0] == "RTSP/1.0" {
		if m.status, err = strconv.Atoi(parts[1]); err != nil {
			return m, fmt.Errorf("start line %q", line)
		}
	} else {
		m.method, m.uri = parts[0], parts[1]
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
			return m, fmt.Errorf("header line %q", line)
		}
		m.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	n, err := strconv.Atoi(m.header["content-length"])
	if err != nil || n < 0 || n > 1<<20 {
		return m, fmt.Errorf("Content-Length %q", m.header["content-length"])
	}
	body := make([]byte, n)
	_, err = io.ReadFull(in, body)
	m.body = string(body)
	return m, err
}
