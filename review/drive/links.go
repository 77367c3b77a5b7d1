//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// network joins gateways to each other and to the store. Each gateway reaches the others and the store through links of its own, so that
// single machines can be cut off. The addresses of the other gateways that it reads, in the store or from another gateway, are
// replaced by those of its links.
type network struct {
	en    *environment
	nodes []*node

	mu  sync.Mutex
	cut map[*node]bool
}

// node is a gateway in a network.
type node struct {
	gw         *gatewayProcess
	realStatus string // address for datagrams
	realRelay  string // address for requests of other gateways
	// status and relay are the addresses of the links to the other gateways.
	status, relay map[*node]string
}

// join adds gateways to the network. It must be called before they start.
func (en *environment) join(gateways ...*gatewayProcess) (*network, error) {
	nw := &network{en: en, cut: map[*node]bool{}}
	for _, gw := range gateways {
		nw.nodes = append(nw.nodes, &node{
			gw: gw, realStatus: gw.settings["status_address"], realRelay: gw.settings["relay_address"], status: map[*node]string{}, relay: map[*node]string{},
		})
	}
	for _, from := range nw.nodes {
		address, err := nw.linkHTTP(from, nil, en.store.Address())
		if err != nil {
			return nil, err
		}
		from.gw.settings["store_address"] = address
		for _, to := range nw.nodes {
			if to == from {
				continue
			}
			if from.relay[to], err = nw.linkHTTP(from, to, to.realRelay); err != nil {
				return nil, err
			}
			if from.status[to], err = nw.linkDatagrams(from, to); err != nil {
				return nil, err
			}
		}
	}
	return nw, nil
}

// setCut cuts machines off from all other machines and from the store, or ends that.
func (nw *network) setCut(cut bool, nodes ...*node) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, nd := range nodes {
		nw.cut[nd] = cut
	}
}

// open reports whether a link carries data. A nil node is the store.
func (nw *network) open(from, to *node) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return !nw.cut[from] && !nw.cut[to]
}

// await waits until a link carries data. It reports false if the request ends first.
func (nw *network) await(r *http.Request, from, to *node) bool {
	for !nw.open(from, to) {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
	return true
}

// linkHTTP starts a link of a gateway to the store, or to another gateway, and returns its address.
func (nw *network) linkHTTP(from, to *node, upstream string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: &httpLink{nw, from, to, upstream, &http.Transport{MaxIdleConnsPerHost: 8}}}
	go func() { _ = srv.Serve(ln) }()
	nw.en.onClose(func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

// httpLink passes requests on. While the machine is cut off it holds requests and responses, as a partition does.
type httpLink struct {
	nw       *network
	from, to *node
	upstream string
	tr       *http.Transport
}

func (lk *httpLink) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !lk.nw.await(r, lk.from, lk.to) {
		panic(http.ErrAbortHandler)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+lk.upstream+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header = r.Header.Clone()
	resp, err := lk.tr.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil || !lk.nw.await(r, lk.from, lk.to) {
		panic(http.ErrAbortHandler)
	}
	for name, vals := range resp.Header {
		if name != "Content-Length" {
			rw.Header()[name] = vals
		}
	}
	rw.WriteHeader(resp.StatusCode)
	_, _ = io.WriteString(rw, lk.nw.readdress(lk.from, string(answer)))
}

// readdress replaces the addresses of other gateways by those of the links of one.
func (nw *network) readdress(from *node, text string) string {
	var pairs []string
	add := func(was, is string) { pairs = append(pairs, `"`+was+`"`, `"`+is+`"`) }
	for _, to := range nw.nodes {
		status, relay := to.realStatus, to.realRelay
		if to != from {
			status, relay = from.status[to], from.relay[to]
		}
		add(to.realStatus, status)
		add(to.realRelay, relay)
		for _, other := range nw.nodes {
			if other != to {
				add(other.status[to], status)
				add(other.relay[to], relay)
			}
		}
	}
	return strings.NewReplacer(pairs...).Replace(text)
}

// linkDatagrams starts a link for datagrams of one gateway to another and for the replies to them, and returns its address.
func (nw *network) linkDatagrams(from, to *node) (string, error) {
	near, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	far, err := net.Dial("udp4", to.realStatus)
	if err != nil {
		return "", err
	}
	back, err := net.ResolveUDPAddr("udp4", from.realStatus)
	if err != nil {
		return "", err
	}
	nw.en.onClose(func() {
		_ = near.Close()
		_ = far.Close()
	})
	go nw.copyDatagrams(from, to, func(buf []byte) (int, error) {
		num, _, err := near.ReadFrom(buf)
		return num, err
	}, far.Write)
	go nw.copyDatagrams(from, to, far.Read, func(src []byte) (int, error) { return near.WriteTo(src, back) })
	return near.LocalAddr().String(), nil
}

// copyDatagrams copies datagrams until the sockets are closed. Those that arrive during a cut are lost.
func (nw *network) copyDatagrams(from, to *node, read, write func([]byte) (int, error)) {
	buf := make([]byte, 64<<10)
	for {
		num, err := read(buf)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue // the other process does not listen yet
		}
		if nw.open(from, to) {
			_, _ = write(buf[:num])
		}
	}
}
