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

// largestReport bounds the answer to a poll.
const largestReport = 4 << 10

// loadReport is the answer to GET /load.
type loadReport struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
}

// poller polls one target until its context ends.
type poller struct {
	be      *backend
	every   time.Duration
	timeout time.Duration
	noted   func() // called after each poll
}

func (po *poller) run(ctx context.Context) {
	tk := time.NewTicker(po.every)
	defer tk.Stop()
	for {
		po.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		po.noted()
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
	ld, err := po.ask(pctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		po.be.set.PollFailed(time.Now(), sent, po.be.name)
		return
	}
	po.be.set.PollAnswered(time.Now(), po.be.name, ld)
}

func (po *poller) ask(ctx context.Context) (balance.Load, error) {
	if _, err := po.get(ctx, "/healthz"); err != nil {
		return balance.Load{}, err
	}
	src, err := po.get(ctx, "/load")
	if err != nil {
		return balance.Load{}, err
	}
	var lr loadReport
	if err := json.Unmarshal(src, &lr); err != nil {
		return balance.Load{}, fmt.Errorf("load of %s: %w", po.be.name, err)
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
	resp, err := po.be.polls.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	src, err := io.ReadAll(io.LimitReader(resp.Body, largestReport))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s of %s: status %d", path, po.be.name, resp.StatusCode)
	}
	return src, nil
}

// parseWorkLoad reads the field Work-Load: "<in_flight>/<slots>".
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
