package caller

import (
	"context"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"time"

	"damasklatch/core/id"

	"github.com/pkg/errors"
)

const (
	lookupTimeout  = 2 * time.Second
	maxLookupBytes = 1 << 20 // of a response to a look-up; the rest is cut off
)

// entry is an entry VM in the response to a look-up.
type entry struct {
	VM            id.VM            `json:"vm"`
	Address       string           `json:"address"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Ticket        string           `json:"ticket"`
}

// lookupResponse is the JSON body of the response to a look-up.
type lookupResponse struct {
	Generation uint64  `json:"generation"`
	TTLMs      int64   `json:"ttl_ms"`
	Entries    []entry `json:"entries"`
}

// cacheKey holds the parameters of a look-up.
type cacheKey struct {
	route  id.Route
	client netip.Addr
}

// cachedResponse is a look-up response and the time at which its time to live ends.
type cachedResponse struct {
	response  *lookupResponse
	expiresAt time.Time
}

// cache keeps look-up responses for their time to live. It is safe for concurrent use.
type cache struct {
	mu        sync.Mutex
	responses map[cacheKey]cachedResponse
}

// get returns the cached response and whether it is still valid.
func (ch *cache) get(now time.Time, ck cacheKey) (*lookupResponse, bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ca, ok := ch.responses[ck]
	return ca.response, ok && now.Before(ca.expiresAt)
}

// put stores the response to a look-up that was sent at the time sent. The time to live starts then.
func (ch *cache) put(sent time.Time, ck cacheKey, lr *lookupResponse) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.responses[ck] = cachedResponse{response: lr, expiresAt: sent.Add(time.Duration(lr.TTLMs) * time.Millisecond)}
}

// drop removes the response for ck. It is called when no entry of the response completed the operation.
func (ch *cache) drop(ck cacheKey) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	delete(ch.responses, ck)
}

// lookup asks the entry VMs of the scenario one after the other, beginning at the index first, until one returns
// entries. If none does, it returns the last error. With skipCache it neither reads nor fills the cache, because no other
// request may use the ticket of a non-idempotent request.
func (rn *Runner) lookup(ctx context.Context, ck cacheKey, first int, skipCache bool) (*lookupResponse, error) {
	if !skipCache {
		if lr, ok := rn.cache.get(time.Now(), ck); ok {
			return lr, nil
		}
	}
	err := errors.New("no entry VM is set for look-ups")
	for i := range rn.sc.Entries {
		sent := time.Now()
		var lr *lookupResponse
		if lr, err = rn.sendLookup(ctx, rn.sc.Entries[(first+i)%len(rn.sc.Entries)], ck); err != nil {
			continue
		}
		if !skipCache {
			rn.cache.put(sent, ck, lr)
		}
		return lr, nil
	}
	return nil, err
}

// sendLookup sends a look-up to the entry VM at the address. A response without entries is an error.
func (rn *Runner) sendLookup(ctx context.Context, address string, ck cacheKey) (*lookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	qr := url.Values{"route": {string(ck.route)}, "client": {ck.client.String()}}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/lookup?"+qr.Encode(), nil)
	if err != nil {
		return nil, err
	}
	rs, err := rn.pools.get(address).RoundTrip(rq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxLookupBytes))
	if err != nil {
		return nil, err
	}
	if rs.StatusCode != http.StatusOK {
		return nil, errors.Errorf("look-up at entry VM %s: unexpected status %d: %.200s", address, rs.StatusCode, body)
	}
	lr := new(lookupResponse)
	if err := json.Unmarshal(body, lr); err != nil {
		return nil, errors.Wrapf(err, "look-up at entry VM %s: decode response", address)
	}
	if len(lr.Entries) == 0 {
		return nil, errors.Errorf("look-up at entry VM %s: the response contains no entries", address)
	}
	return lr, nil
}

// requestIDPattern matches a request ID in hexadecimal form.
var requestIDPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// Format of a ticket: the number of its fields, which are separated by dots, and the index of the request ID.
const (
	ticketFields   = 7
	requestIDField = 5
)

// ticketRequestID returns the request ID in a ticket. The ID may be written as hexadecimal digits, as the base64url form of
// these digits or as the base64url form of the 16 bytes. For any other form the result is empty: callers need not
// understand tickets, and the ID only links the records of callers and targets.
func ticketRequestID(ticket string) id.Request {
	fields := strings.Split(ticket, ".")
	if len(fields) != ticketFields {
		return ""
	}
	fd := fields[requestIDField]
	if requestIDPattern.MatchString(fd) {
		return id.Request(fd)
	}
	dec, err := base64.RawURLEncoding.DecodeString(fd)
	switch {
	case err != nil:
		return ""
	case requestIDPattern.Match(dec):
		return id.Request(dec)
	case len(dec) == 16:
		return id.Request(hex.EncodeToString(dec))
	}
	return ""
}
