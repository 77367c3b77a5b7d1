package cli

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"damasklatch/io/gateway"
	"damasklatch/io/httpframe"
)

// maxTargetsBytes is the maximum length of a gateway's report of its targets.
const maxTargetsBytes = 16 << 20

// gatewayTarget is a target as one gateway sees it.
type gatewayTarget struct {
	Gateway string `json:"gateway"`
	gateway.TargetReport
}

// runGateways prints the targets as the gateways see them.
func (st *Status) runGateways(ctx context.Context, ev *Env) error {
	if st.Timeout <= 0 {
		return inputErrorf("--timeout: %v is not greater than zero", st.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, st.Timeout)
	defer cancel()
	list := []gatewayTarget{}
	for _, address := range st.Gateways {
		reports, err := fetchTargets(ctx, address)
		if err != nil {
			return inputErrorf("--gateway %s: %v", address, err)
		}
		for _, rp := range reports {
			list = append(list, gatewayTarget{address, rp})
		}
	}
	st.print(ev, list, func() {
		var rows [][]string
		for _, tg := range list {
			left := ""
			if tg.LeftMS > 0 {
				left = (time.Duration(tg.LeftMS) * time.Millisecond).String()
			}
			rows = append(rows, []string{
				tg.Gateway, tg.Target, tg.Pool, tg.FailureDomain, tg.State, left, strconv.Itoa(tg.InFlight), strconv.Itoa(tg.Slots), strconv.Itoa(tg.PacePercent),
			})
		}
		writeTable(ev.Stdout, []string{"GATEWAY", "TARGET", "POOL", "FAILURE DOMAIN", "STATE", "LEFT", "IN FLIGHT", "SLOTS", "PACE %"}, rows)
	})
	return nil
}

// statusClient opens a connection for each request.
var statusClient = &http.Client{Transport: &http.Transport{DialContext: httpframe.Checked((&net.Dialer{}).DialContext), DisableKeepAlives: true}}

// fetchTargets asks a gateway for its targets.
func fetchTargets(ctx context.Context, address string) ([]gateway.TargetReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+gateway.TargetsPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := statusClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, inputErrorf("got status %d", resp.StatusCode)
	}
	var list []gateway.TargetReport
	err = json.NewDecoder(io.LimitReader(resp.Body, maxTargetsBytes)).Decode(&list)
	return list, err
}
