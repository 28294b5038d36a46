package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// idle plays kept connections that rest for four fifths of idle_timeout_ms, and heads that come slowly.
func idle() {
	st := newStore()
	for i := range 4 {
		newBackend(st, fmt.Sprintf("i-%d", i), "desk", "ab"[i%2:i%2+1], 20*time.Millisecond)
	}
	st.put("op/config", config(7, []string{"desk"}, route("r-book", "desk.example", "/book/", "unsafe", "desk", 1000)))
	newEntry(st, "front-a-1", "a")
	awaitReady()
	time.Sleep(time.Second)
	failed := 0
	done := make(chan bool)
	for _, first := range []string{"none", "length", "chunked", "expect"} {
		go func() {
			defer func() { done <- true }()
			c, err := net.Dial("tcp", entries[0].front)
			if err != nil {
				return
			}
			defer c.Close()
			br := bufio.NewReader(c)
			exchange := func(kind string, slow bool) {
				id := newID()
				head := "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nBalsamvale-Request-Id: " + id + "\r\nBalsamvale-Remaining-Milliseconds: 1000\r\n"
				body := "hello"
				switch kind {
				case "chunked":
					head += "Transfer-Encoding: chunked\r\n\r\n"
					body = "5\r\nhello\r\n0\r\n\r\n"
				case "expect":
					head += "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"
				default:
					head += "Content-Length: 5\r\n\r\n"
				}
				if slow {
					_, _ = c.Write([]byte(head[:20]))
					time.Sleep(2700 * time.Millisecond)
					head = head[20:]
				}
				_, _ = c.Write([]byte(head + body))
				_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
				for {
					res, err := http.ReadResponse(br, nil)
					if err != nil {
						failed++
						record("after %s: %s %v slow %v: %v", first, id, kind, slow, err)
						return
					}
					if res.StatusCode == 100 {
						continue
					}
					_, _ = io.Copy(io.Discard, res.Body)
					record("after %s: %s %v slow %v: %d", first, id, kind, slow, res.StatusCode)
					return
				}
			}
			if first != "none" {
				exchange(first, false)
			}
			for _, next := range []string{"length", "chunked", "length"} {
				time.Sleep(12 * time.Second)
				exchange(next, false)
			}
			exchange("length", true)
		}()
	}
	for range 4 {
		<-done
	}
	finish(0, "explored, %d failed", failed)
}
