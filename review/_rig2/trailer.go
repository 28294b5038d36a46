package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// trailer plays chunked uploads with trailers of several lengths, and connections that begin with an empty line.
func trailer() {
	st := newStore()
	newBackend(st, "i-0", "desk", "a", 20*time.Millisecond)
	st.put("op/config", config(7, []string{"desk"}, route("r-book", "desk.example", "/book/", "unsafe", "desk", 1000)))
	newEntry(st, "front-a-1", "a")
	awaitReady()
	time.Sleep(time.Second)
	send := func(what, text string) {
		c, err := net.Dial("tcp", entries[0].front)
		if err != nil {
			unable(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = c.Write([]byte(text))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			record("%s: %v", what, err)
			return
		}
		record("%s: %d", what, res.StatusCode)
	}
	for _, n := range []int{100, 3000, 5000, 8000} {
		for range 3 {
			send(fmt.Sprintf("trailer of %d bytes", n), "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nBalsamvale-Request-Id: "+newID()+
				"\r\nBalsamvale-Remaining-Milliseconds: 1000\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: "+strings.Repeat("s", n)+"\r\n\r\n")
		}
	}
	send("empty line first", "\r\nGET /book/1 HTTP/1.1\r\nHost: desk.example\r\nBalsamvale-Request-Id: "+newID()+"\r\nBalsamvale-Remaining-Milliseconds: 1000\r\n\r\n")
	finish(0, "explored")
}
