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

// An output that takes no lines must not block the goroutines that log, and every dropped line must be counted.
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

// A flood of request lines must not cause other lines to be dropped. The number of dropped lines must also be reported when the
// process ends before the next report is due.
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
