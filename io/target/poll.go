package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damasklatch/core/balance"
)

// maxReportBytes limits how much of the response to a poll is read.
const maxReportBytes = 4 << 10

// loadReport is the response to GET /load.
type loadReport struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
}

// poller polls the health and load of one target.
type poller struct {
	be        *backend
	interval  time.Duration
	timeout   time.Duration
	afterPoll func() // called after each poll
}

func (po *poller) run(ctx context.Context) {
	tk := time.NewTicker(po.interval)
	defer tk.Stop()
	for {
		po.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		po.afterPoll()
		select {
		case <-ctx.Done():
			return
		case <-tk.C:
		}
	}
}

func (po *poller) poll(ctx context.Context) {
	sent := time.Now()
	po.be.set.PollSent(po.be.name)
	pctx, cancel := context.WithTimeout(ctx, po.timeout)
	defer cancel()
	ld, err := po.queryLoad(pctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		po.be.set.PollFailed(time.Now(), sent, po.be.name)
		return
	}
	po.be.set.PollAnswered(time.Now(), po.be.name, ld)
}

func (po *poller) queryLoad(ctx context.Context) (balance.Load, error) {
	if _, err := po.get(ctx, "/healthz"); err != nil {
		return balance.Load{}, err
	}
	src, err := po.get(ctx, "/load")
	if err != nil {
		return balance.Load{}, err
	}
	var lr loadReport
	if err := json.Unmarshal(src, &lr); err != nil {
		return balance.Load{}, fmt.Errorf("decode load report of target %s: %w", po.be.name, err)
	}
	return balance.Load{
		InFlight: max(lr.InFlight, 0), Slots: lr.Slots, Queued: max(lr.Queued, 0), Draining: lr.Draining,
	}, nil
}

func (po *poller) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+po.be.address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := po.be.pollTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	src, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("GET %s of target %s: status %d", path, po.be.name, resp.StatusCode)
	}
	return src, nil
}

// parseWorkLoad parses a Work-Load header field, which has the form "<in_flight>/<slots>".
func parseWorkLoad(text string) (balance.Load, bool) {
	left, right, ok := strings.Cut(text, "/")
	if !ok {
		return balance.Load{}, false
	}
	in, err := strconv.Atoi(left)
	if err != nil || in < 0 {
		return balance.Load{}, false
	}
	slots, err := strconv.Atoi(right)
	if err != nil || slots < 0 {
		return balance.Load{}, false
	}
	return balance.Load{InFlight: in, Slots: slots}, true
}
