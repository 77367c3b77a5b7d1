package asynclog_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/io/asynclog"
)

// A full output must not block the requests that log, and what is lost must be counted.
func TestWriterDropsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(bytes.Buffer)
		wr := asynclog.New(out)
		for nr := range 10 * asynclog.MaxLinesPerSecond {
			fmt.Fprintf(wr, "line %d\n", nr)
		}
		ctx, stop := context.WithCancel(context.Background())
		go wr.Run(ctx)
		time.Sleep(6 * time.Second)
		fmt.Fprintln(wr, "later")
		stop()
		wr.Wait()
		lines := strings.Count(out.String(), "line ")
		if lines != asynclog.MaxLinesPerSecond || wr.Dropped() != 9*asynclog.MaxLinesPerSecond {
			t.Errorf("%d lines written and %d dropped", lines, wr.Dropped())
		}
		for _, want := range []string{`"count":1800`, "later"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("the output lacks %q", want)
			}
		}
	})
}

// A flood of lines of requests must not displace the lines that tell what the process does, and what was dropped must be told
// also by a process that ends.
func TestRequestsDisplaceNoOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := new(bytes.Buffer)
		wr := asynclog.New(out)
		ctx, stop := context.WithCancel(context.Background())
		go wr.Run(ctx)
		for range 2 * asynclog.MaxLinesPerSecond {
			fmt.Fprintln(wr.RequestWriter(), "request")
		}
		fmt.Fprintln(wr, "stopped")
		stop()
		wr.Wait()
		for _, want := range []string{`"count":200`, "stopped"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("the output lacks %q", want)
			}
		}
	})
}
