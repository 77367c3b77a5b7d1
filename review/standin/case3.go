//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["3"] = playSmuggled }

// smuggleRounds is the number of connections on which a request is hidden inside another.
const smuggleRounds = 20

// playSmuggled sends, on a connection that carries two requests at once, a booking whose body holds another booking. With the
// disruption, the outer request has both a Content-Length, which covers the inner one, and a chunked encoding, which ends before
// it. Without the disruption it has only the Content-Length, and the same bytes.
func playSmuggled(rg *rig) []string {
	rg.configure(0, route("read", "/read/", "safe", "desk"), route("book", "/book/", "unsafe", "desk"))
	smallDeployment(rg, 6, 30*time.Millisecond)
	inner := map[string]string{} // ids of hidden requests, with the ids of the requests around them
	for nr := range smuggleRounds {
		cc, err := dial(rg.vms[nr%len(rg.vms)])
		must(err)
		first, outer, hidden := newID(), newID(), newID()
		inner[hidden] = outer
		body := "0\r\n\r\n" + head("POST", "/book/hidden", hidden, 3*time.Second) + "Content-Length: 0\r\n\r\n"
		text := head("GET", "/read/first", first, 3*time.Second) + "\r\n" + head("POST", "/book/outer", outer, 3*time.Second) +
			fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if rg.trouble {
			text += "Transfer-Encoding: chunked\r\n"
		}
		text += "\r\n" + body
		rg.note("client: connection %d to %s sends %q", nr, cc.vm.name, text)
		_ = cc.cn.SetDeadline(time.Now().Add(2 * time.Second))
		_, err = cc.cn.Write([]byte(text))
		must(err)
		var got []string
		for range 3 {
			resp, err := http.ReadResponse(cc.rd, nil)
			if err != nil {
				got = append(got, "no answer: "+err.Error())
				break
			}
			var buf bytes.Buffer
			_, _ = buf.ReadFrom(resp.Body)
			got = append(got, fmt.Sprintf("%d for %s", resp.StatusCode, resp.Header.Get("X-Attempt-Id")))
		}
		rg.note("client: connection %d got: %s", nr, strings.Join(got, "; "))
		cc.close()
	}
	time.Sleep(500 * time.Millisecond)
	var broken []string
	for _, ex := range rg.executions() {
		if outer, ok := inner[ex.id]; ok {
			text := fmt.Sprintf("UNASKED: worker %s ran %s %s %s, which was smuggled inside %s", ex.worker, ex.id, ex.method, ex.path, outer)
			rg.note("BROKEN %s", text)
			broken = append(broken, text)
		}
	}
	return broken
}
