package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// upload sends a body of n bytes in parts and reads the answer.
func upload(e *entry, host, path string, n int, chunked, expect bool, limit time.Duration) (out result) {
	out = result{id: newID(), sent: time.Now()}
	defer func() { out.record(e, "POST", path) }()
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nBalsamvale-Request-Id: %s\r\nBalsamvale-Remaining-Milliseconds: %d\r\nX-Entry: %s\r\n", path, host, out.id, limit.Milliseconds(), e.name)
	if chunked {
		text += "Transfer-Encoding: chunked\r\n"
	} else {
		text += fmt.Sprintf("Content-Length: %d\r\n", n)
	}
	if expect {
		text += "Expect: 100-continue\r\n"
	}
	if _, err := c.Write([]byte(text + "\r\n")); err != nil {
		out.err = err
		return out
	}
	go func() {
		part := strings.Repeat("u", 16<<10)
		for left := n; left > 0; {
			p := part[:min(left, len(part))]
			left -= len(p)
			data := p
			if chunked {
				data = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
			}
			if _, err := c.Write([]byte(data)); err != nil {
				return
			}
		}
		if chunked {
			_, _ = c.Write([]byte("0\r\n\r\n"))
		}
	}()
	br := bufio.NewReader(c)
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			out.err = err
			return out
		}
		if res.StatusCode == 100 {
			continue
		}
		data, err := io.ReadAll(res.Body)
		out.status, out.body, out.err, out.header = res.StatusCode, string(data), err, res.Header
		return out
	}
}
