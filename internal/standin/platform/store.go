package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"damasklatch/io/store"

	"github.com/pkg/errors"
)

// DefaultCallTimeout limits a call that gets no response, as the HTTP client of the store does.
const DefaultCallTimeout = 2 * time.Second

// StoreOptions are the settings of a store.
type StoreOptions struct {
	Limits      *Limits       // DefaultLimits if nil
	CallTimeout time.Duration // DefaultCallTimeout if zero, no limit if negative
	VMLag       time.Duration // delay until the list of VMs shows a removal
}

// Store is the platform store in memory. It embeds a Client without faults of its own, which provides the methods of
// store.Store. Store starts no goroutine and uses the runtime clock, so it works in a bubble of testing/synctest. It
// is safe for concurrent use.
type Store struct {
	*Client
	vms         *VMList
	callTimeout time.Duration

	mu      sync.Mutex
	objects objects
	faults  Faults
	calls   Calls
	writes  rateBucket
	reads   rateBucket
	changed chan struct{} // closed and replaced when a write is enqueued, an object changes, or faults change
}

// NewStore returns an empty store.
func NewStore(op StoreOptions) *Store {
	lim := DefaultLimits
	if op.Limits != nil {
		lim = *op.Limits
	}
	if op.CallTimeout == 0 {
		op.CallTimeout = DefaultCallTimeout
	}
	st := &Store{
		vms:         NewVMList(op.VMLag),
		callTimeout: op.CallTimeout,
		objects:     objects{states: make(map[string][]objectState)},
		changed:     make(chan struct{}),
	}
	st.setLimits(lim)
	st.Client = st.NewClient()
	return st
}

// VMList returns the list of VMs, through which tests add and remove VMs.
func (st *Store) VMList() *VMList { return st.vms }

// SetFaults replaces the faults of the whole store. The faults of single clients stay.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.wakeWaiters()
}

// Faults returns the faults of the whole store. LoseRequests and LoseAnswers are the numbers of writes that are
// still to be lost.
func (st *Store) Faults() Faults {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.faults
}

// SetLimits replaces the rate limits and restarts both token buckets full.
func (st *Store) SetLimits(lim Limits) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.setLimits(lim)
}

// setLimits requires that the caller holds the mutex, or that the store is not shared yet.
func (st *Store) setLimits(lim Limits) {
	st.writes, st.reads = newRateBucket(lim.WritesPerSecond), newRateBucket(lim.ReadsPerSecond)
}

// Calls returns the numbers of calls since the store was created.
func (st *Store) Calls() Calls {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Revision returns the version that the latest change of any object got.
func (st *Store) Revision() store.Version {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.applyDueWrites()
	return st.objects.revision
}

// wakeWaiters wakes all watches, which then read the store again. The caller holds the mutex.
func (st *Store) wakeWaiters() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// applyDueWrites applies the writes whose time has come. The caller holds the mutex.
func (st *Store) applyDueWrites() {
	if st.objects.applyDue(time.Now()) {
		st.wakeWaiters()
	}
}

// admitCall counts a call and returns an error if the store is down or the call exceeds the rate limit.
func (st *Store) admitCall(op Op, fa Faults) *store.Error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.calls.count(op)
	bucket := &st.reads
	if op.isWrite() {
		bucket = &st.writes
	}
	if fa.Down || fa.Refuse {
		return &store.Error{Kind: store.Unavailable, Err: errors.New("the store is down")}
	}
	if !bucket.take(time.Now()) {
		st.calls.RateLimited++
		return &store.Error{Kind: store.RateLimited}
	}
	return nil
}

// Client is the access of one client to the store. The faults of a client apply in addition to the faults of the
// store, so tests can simulate a network partition between a single client and the store.
type Client struct {
	st     *Store
	faults Faults // faults of this client only; guarded by st.mu
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client without faults of its own.
func (st *Store) NewClient() *Client { return &Client{st: st} }

// SetClientFaults replaces the faults of this client.
func (cl *Client) SetClientFaults(fa Faults) {
	cl.st.mu.Lock()
	defer cl.st.mu.Unlock()
	cl.faults = fa
	cl.st.wakeWaiters()
}

// activeFaults returns the combined faults of the client and the store.
func (cl *Client) activeFaults() Faults {
	cl.st.mu.Lock()
	defer cl.st.mu.Unlock()
	return cl.st.faults.combine(cl.faults)
}

// takeLostCall reports whether the current write is to be lost. It consumes one from the count of the client, or from
// the count of the store if the client's is zero.
func (cl *Client) takeLostCall(count func(*Faults) *int) bool {
	cl.st.mu.Lock()
	defer cl.st.mu.Unlock()
	return decrement(count(&cl.faults)) || decrement(count(&cl.st.faults))
}

// withCallTimeout limits a call to the call timeout plus the wait that the call requests.
func (cl *Client) withCallTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if cl.st.callTimeout < 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, cl.st.callTimeout+wait)
}

// admit counts a call and refuses it as the faults and rate limits require. It returns the active faults. A call of
// a silent client does not reach the store, so it is not counted.
func (cl *Client) admit(ctx context.Context, op Op) (Faults, *store.Error) {
	fa := cl.activeFaults()
	if fa.Silent || ctx.Err() != nil {
		return fa, endLostCall(ctx, op, fa)
	}
	return fa, cl.st.admitCall(op, fa)
}

// endLostCall returns the error of a call that was lost. Unless the connection is reset, it blocks until the context
// ends, even if the fault is cleared before.
func endLostCall(ctx context.Context, op Op, fa Faults) *store.Error {
	if !fa.Reset {
		<-ctx.Done()
		return noResponseError(ctx, op)
	}
	er := noResponseError(ctx, op)
	er.Err = errors.New("connection closed")
	return er
}

// noResponseError returns the error of a call that got no response. Whether a write took effect is unknown.
func noResponseError(ctx context.Context, op Op) *store.Error {
	kind := store.Timeout
	if op.isWrite() {
		kind = store.Unknown
	}
	return &store.Error{Kind: kind, Err: context.Cause(ctx)}
}

// read performs a read with the active faults. It calls fn with the mutex held; at is the time whose state the read
// may see.
func (cl *Client) read(ctx context.Context, op Op, key string, fn func(at time.Time) *store.Error) error {
	ctx, cancel := cl.withCallTimeout(ctx, 0)
	defer cancel()
	fa, er := cl.admit(ctx, op)
	if er == nil {
		er = sleep(ctx, op, fa.DelayBefore)
	}
	if er == nil {
		er = cl.withLock(func() *store.Error { return fn(time.Now().Add(-fa.StaleBy)) })
	}
	if late := sleep(ctx, op, fa.DelayAfter); late != nil {
		er = late
	}
	return completeError(er, op, key)
}

// withLock applies the due writes and calls fn with the mutex held.
func (cl *Client) withLock(fn func() *store.Error) *store.Error {
	cl.st.mu.Lock()
	defer cl.st.mu.Unlock()
	cl.st.applyDueWrites()
	return fn()
}

// completeError adds the operation and the key to an error. For a nil pointer it returns a nil interface, so that
// the caller sees no error.
func completeError(er *store.Error, op Op, key string) error {
	if er == nil {
		return nil
	}
	er.Op, er.Key = string(op), key
	return er
}

// sleep waits for d. It returns an error if the context ends first.
func sleep(ctx context.Context, op Op, d time.Duration) *store.Error {
	if d <= 0 {
		return nil
	}
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return noResponseError(ctx, op)
	}
}

// Get implements store.Store.
func (cl *Client) Get(ctx context.Context, key string) (store.Object, error) {
	var obj store.Object
	err := cl.read(ctx, OpGet, key, func(at time.Time) *store.Error {
		sta, ok := cl.st.objects.stateAt(key, at)
		if !ok || sta.deleted {
			return &store.Error{Kind: store.NotFound}
		}
		obj = store.Object{Key: key, Version: sta.version, Value: slices.Clone(sta.value)}
		return nil
	})
	if err != nil {
		return store.Object{}, err
	}
	return obj, nil
}

// List implements store.Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]store.Info, store.Version, error) {
	var infos []store.Info
	var revision store.Version
	err := cl.read(ctx, OpList, prefix, func(at time.Time) *store.Error {
		keys, stas, rev := cl.st.objects.withPrefix(prefix, at)
		revision = rev
		for nr, sta := range stas {
			if !sta.deleted {
				infos = append(infos, store.Info{Key: keys[nr], Version: sta.version, Size: len(sta.value)})
			}
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return infos, revision, nil
}

// VMs implements store.Store.
func (cl *Client) VMs(ctx context.Context) ([]store.VMRecord, error) {
	var recs []store.VMRecord
	err := cl.read(ctx, OpVMs, "", func(time.Time) *store.Error {
		recs = cl.st.vms.Records()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return recs, nil
}

// Put implements store.Store.
func (cl *Client) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	wr := &pendingWrite{op: OpPut, key: key, value: slices.Clone(value), expected: expected}
	if err := cl.write(ctx, wr); err != nil {
		return 0, err
	}
	return wr.version, nil
}

// Delete implements store.Store.
func (cl *Client) Delete(ctx context.Context, key string, expected store.Version) error {
	return cl.write(ctx, &pendingWrite{op: OpDelete, key: key, expected: expected})
}

// write performs a write with the active faults. A delayed write takes effect even if the caller has stopped waiting
// for it.
func (cl *Client) write(ctx context.Context, wr *pendingWrite) error {
	ctx, cancel := cl.withCallTimeout(ctx, 0)
	defer cancel()
	fa, er := cl.admit(ctx, wr.op)
	if er == nil && len(wr.value) > store.MaxObjectBytes {
		er = &store.Error{Kind: store.TooLarge}
	}
	if er != nil {
		return completeError(er, wr.op, wr.key)
	}
	if cl.takeLostCall(func(fa *Faults) *int { return &fa.LoseRequests }) {
		return completeError(endLostCall(ctx, wr.op, fa), wr.op, wr.key)
	}
	_ = cl.withLock(func() *store.Error {
		wr.at = time.Now().Add(fa.DelayBefore)
		cl.st.objects.enqueue(wr)
		cl.st.applyDueWrites()
		cl.st.wakeWaiters()
		return nil
	})
	if cl.takeLostCall(func(fa *Faults) *int { return &fa.LoseAnswers }) {
		return completeError(endLostCall(ctx, wr.op, fa), wr.op, wr.key)
	}
	if er := sleep(ctx, wr.op, fa.DelayBefore+fa.DelayAfter); er != nil {
		return completeError(er, wr.op, wr.key)
	}
	return completeError(cl.withLock(func() *store.Error { return wr.err }), wr.op, wr.key)
}

// Peek returns the latest state of an object, and false if it does not exist. It is not a call: it is not counted,
// and faults and limits do not apply. Tests use it to check which write was accepted.
func (st *Store) Peek(key string) (store.Object, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.applyDueWrites()
	sta, ok := st.objects.stateAt(key, time.Now())
	if !ok || sta.deleted {
		return store.Object{}, false
	}
	return store.Object{Key: key, Version: sta.version, Value: slices.Clone(sta.value)}, true
}
