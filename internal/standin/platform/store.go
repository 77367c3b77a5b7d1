package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"damasklatch/io/store"

	"github.com/pkg/errors"
)

// DefaultCallTimeout bounds a call without an answer, as the HTTP client of the store does.
const DefaultCallTimeout = 2 * time.Second

// StoreOptions are the settings of a store. Zero values mean the defaults.
type StoreOptions struct {
	Limits      *Limits       // DefaultLimits if nil
	CallTimeout time.Duration // DefaultCallTimeout if zero, no bound if negative
	VMLag       time.Duration // lag of the list of VMs
}

// Store is the platform store in memory. Its own methods of store.Store are those of a client without faults of its
// own. It starts no goroutine and uses the runtime clock, so it works in a bubble of testing/synctest.
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
	changed chan struct{} // closed and replaced when an object changes or the faults change
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

// VMList returns the list of VMs, to change it.
func (st *Store) VMList() *VMList { return st.vms }

// SetFaults replaces the faults of the whole store.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = fa
	st.wakeWaiters()
}

// Faults returns the faults of the whole store. Counts of lost calls are those that remain.
func (st *Store) Faults() Faults {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.faults
}

// SetLimits replaces the call rates.
func (st *Store) SetLimits(lim Limits) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.setLimits(lim)
}

func (st *Store) setLimits(lim Limits) {
	st.writes, st.reads = newRateBucket(lim.WritesPerSecond), newRateBucket(lim.ReadsPerSecond)
}

// Calls returns the numbers of calls that arrived so far.
func (st *Store) Calls() Calls {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Revision returns the store-wide revision.
func (st *Store) Revision() store.Version {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.applyDueWrites()
	return st.objects.revision
}

// wakeWaiters ends the waits of all calls, which then look at the store again. The caller holds the mutex.
func (st *Store) wakeWaiters() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// applyDueWrites lets due writes take effect. The caller holds the mutex.
func (st *Store) applyDueWrites() {
	if st.objects.applyDue(time.Now()) {
		st.wakeWaiters()
	}
}

// admitCall counts a call and applies the faults and limits that refuse it.
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

// Client is one client's access to the store. Its own faults add to those of the store, which makes a partition
// between one client and the store possible.
type Client struct {
	st     *Store
	faults Faults // guarded by st.mu
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

// activeFaults returns the faults that a call of this client meets.
func (cl *Client) activeFaults() Faults {
	cl.st.mu.Lock()
	defer cl.st.mu.Unlock()
	return cl.st.faults.combine(cl.faults)
}

// takeLostCall uses up one lost call of the client or of the store.
func (cl *Client) takeLostCall(count func(*Faults) *int) bool {
	cl.st.mu.Lock()
	defer cl.st.mu.Unlock()
	return decrement(count(&cl.faults)) || decrement(count(&cl.st.faults))
}

// withCallTimeout limits a call to the call timeout plus the time it waits on purpose.
func (cl *Client) withCallTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if cl.st.callTimeout < 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, cl.st.callTimeout+wait)
}

// admit brings a call to the store: it counts the call and refuses it if the faults or limits say so.
func (cl *Client) admit(ctx context.Context, op Op) (Faults, *store.Error) {
	fa := cl.activeFaults()
	if fa.Silent || ctx.Err() != nil {
		return fa, endLostCall(ctx, op, fa)
	}
	return fa, cl.st.admitCall(op, fa)
}

// endLostCall ends a call that was endLostCall on the way. It stays endLostCall when the fault ends.
func endLostCall(ctx context.Context, op Op, fa Faults) *store.Error {
	if !fa.Reset {
		<-ctx.Done()
		return noResponseError(ctx, op)
	}
	er := noResponseError(ctx, op)
	er.Err = errors.New("connection closed")
	return er
}

// noResponseError is the error of a call whose answer did not arrive before the end of the context.
func noResponseError(ctx context.Context, op Op) *store.Error {
	kind := store.Timeout
	if op.isWrite() {
		kind = store.Unknown
	}
	return &store.Error{Kind: kind, Err: context.Cause(ctx)}
}

// read delays a read by the faults in force and then calls see with the lock held and the time that it may see.
func (cl *Client) read(ctx context.Context, op Op, key string, see func(at time.Time) *store.Error) error {
	ctx, cancel := cl.withCallTimeout(ctx, 0)
	defer cancel()
	fa, er := cl.admit(ctx, op)
	if er == nil {
		er = sleep(ctx, op, fa.DelayBefore)
	}
	if er == nil {
		er = cl.withLock(func() *store.Error { return see(time.Now().Add(-fa.StaleBy)) })
	}
	if late := sleep(ctx, op, fa.DelayAfter); late != nil {
		er = late
	}
	return completeError(er, op, key)
}

func (cl *Client) withLock(see func() *store.Error) *store.Error {
	cl.st.mu.Lock()
	defer cl.st.mu.Unlock()
	cl.st.applyDueWrites()
	return see()
}

// completeError completes an error. It returns a nil interface for a nil pointer.
func completeError(er *store.Error, op Op, key string) error {
	if er == nil {
		return nil
	}
	er.Op, er.Key = string(op), key
	return er
}

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

// write performs a write. It takes effect at its time also when the caller has stopped waiting for it.
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

// Peek returns the newest state of an object without a call: it is neither counted nor subject to faults. Tests use
// it to learn what was accepted.
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
