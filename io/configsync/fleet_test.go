package configsync

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/peer/peerpb"
	"damasklatch/io/store"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// simulatedFleet is a fleet of followers in simulated time, with a store and the digest exchange between the followers.
type simulatedFleet struct {
	st       *platform.Store
	vms      []*simulatedVM
	regions  int
	domains  [][]*simulatedVM
	watchers int
	silent   atomic.Bool                           // digests are not exchanged
	newer    func(gen, inForce id.Generation) bool // replaces the follower's rule if not nil

	mu         sync.Mutex
	partitions map[[2]int]bool // pairs of failure domains that can't connect to each other
	corrupt    bool            // peers send damaged parts
	accepted   map[id.Generation]string
	faults     []string // violations found by the checks
	changes    int
}

// simulatedVM is a VM with its current process.
type simulatedVM struct {
	wd           *simulatedFleet
	nr           int
	name         id.VM
	domain       int
	rank         int // within the failure domain
	store        *platform.Client
	needsContact atomic.Bool // the freshness rule needs a store contact
	silent       time.Time   // time since which the store is unreachable; zero if it is reachable

	fl     atomic.Pointer[Follower] // nil while the process is not running
	cancel context.CancelFunc
	done   sync.WaitGroup
	rnd    *rand.Rand

	mu      sync.Mutex
	view    map[id.VM]id.Generation
	applied []applied
}

// applied records one call of Apply.
type applied struct {
	gen id.Generation
	raw string
	ef  *config.Effective
	at  time.Time
}

// newFleet starts a fleet. sizes are the numbers of VMs in each failure domain; the first watchers of them watch the
// store.
func newFleet(sizes []int, regions, watchers int, newer func(gen, inForce id.Generation) bool) *simulatedFleet {
	wd := &simulatedFleet{
		st: platform.NewStore(platform.StoreOptions{}), regions: regions,
		newer: newer, watchers: watchers, domains: make([][]*simulatedVM, len(sizes)),
		partitions: make(map[[2]int]bool), accepted: make(map[id.Generation]string),
	}
	for domain, size := range sizes {
		for rank := range size {
			mb := &simulatedVM{wd: wd, nr: len(wd.vms), domain: domain, rank: rank, store: wd.st.NewClient()}
			mb.name = id.VM(fmt.Sprintf("fd%d-%d", domain, rank))
			wd.vms = append(wd.vms, mb)
			wd.domains[domain] = append(wd.domains[domain], mb)
		}
	}
	for _, mb := range wd.vms {
		mb.start()
	}
	return wd
}

func (wd *simulatedFleet) stop() {
	for _, mb := range wd.vms {
		mb.stop()
	}
}

func (mb *simulatedVM) start() {
	ctx, cancel := context.WithCancel(context.Background())
	mb.mu.Lock()
	mb.cancel, mb.applied, mb.view = cancel, nil, make(map[id.VM]id.Generation)
	mb.mu.Unlock()
	mb.rnd = rand.New(rand.NewPCG(uint64(mb.nr), 1))
	fl := New(Options{
		Store: mb.store, Peers: mb, Apply: mb.apply, Seed: uint64(mb.nr) + 1,
		WatchStore:        func() bool { return mb.rank < mb.wd.watchers },
		NeedsStoreContact: func() bool { return mb.needsContact.Load() },
	})
	if mb.wd.newer != nil {
		fl.isNewer = mb.wd.newer
	}
	mb.fl.Store(fl)
	mb.done.Add(2)
	go mb.run(ctx, fl)
	go mb.exchangeDigests(ctx)
}

func (mb *simulatedVM) stop() {
	mb.fl.Store(nil)
	mb.cancel()
	mb.done.Wait()
}

func (mb *simulatedVM) run(ctx context.Context, fl *Follower) {
	defer mb.done.Done()
	fl.Run(ctx)
}

// apply implements Options.Apply. It checks that the generation increases within a process.
func (mb *simulatedVM) apply(ef *config.Effective, raw []byte) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if last := len(mb.applied) - 1; last >= 0 && mb.applied[last].gen >= ef.Generation {
		mb.wd.addFault("%s goes from generation %d to %d", mb.name, mb.applied[last].gen, ef.Generation)
	}
	mb.applied = append(mb.applied, applied{gen: ef.Generation, raw: string(raw), ef: ef, at: time.Now()})
}

func (wd *simulatedFleet) addFault(format string, args ...any) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.faults = append(wd.faults, fmt.Sprintf(format, args...))
}

// check checks the applied contents and the store contacts. It returns all violations found so far.
func (wd *simulatedFleet) check() []string {
	wd.recordAccepted()
	for _, mb := range wd.vms {
		mb.mu.Lock()
		for _, ap := range mb.applied {
			mf, err := config.ParseManifest([]byte(ap.raw))
			if err != nil || wd.accepted[ap.gen] != ap.raw || fmt.Sprint(int64(ap.ef.Teams[0].Rate)/1000) != mf.Comment {
				wd.addFault("%s applied a content of generation %d that was not accepted", mb.name, ap.gen)
			}
		}
		mb.mu.Unlock()
		at, ok := mb.fl.Load().LastStoreContact()
		if ok && (at.After(time.Now()) || !mb.silent.IsZero() && at.After(mb.silent)) {
			wd.addFault("%s has a store contact from a time at which the store was unreachable", mb.name)
		}
	}
	return wd.faults
}

// recordAccepted records the accepted manifest. It must be called before another one is accepted.
func (wd *simulatedFleet) recordAccepted() (store.Object, *config.Manifest) {
	obj, ok := wd.st.Peek(config.ManifestKey)
	if !ok {
		return store.Object{}, nil
	}
	mf, err := config.ParseManifest(obj.Value)
	if err != nil {
		panic(err)
	}
	wd.accepted[mf.Generation] = string(obj.Value)
	return obj, mf
}

// accept stores a new configuration as an operator does, the parts first. Configurations differ only in their number.
func (wd *simulatedFleet) accept(ctx context.Context, keyParts int) error {
	obj, mf := wd.recordAccepted()
	wd.changes++
	parts := map[string][]byte{config.BasePartName: fmt.Appendf(nil, baseTemplate, wd.changes)}
	for nr := range keyParts {
		parts[fmt.Sprintf("keys/%x", nr)] = fmt.Appendf(nil, "%x%063x team_a active\n", nr, wd.changes/(nr+1))
	}
	refs := config.NewPartRefs(parts)
	for _, pr := range refs {
		_, err := wd.st.Put(ctx, config.PartKey(pr.SHA256), parts[pr.Name], 0)
		if err != nil && !store.IsKind(err, store.Conflict) {
			return err
		}
	}
	next := mf.Next(config.Change{
		OperationID: id.Operation(fmt.Sprint("op", wd.changes)), Time: time.Now(), Comment: fmt.Sprint(wd.changes),
	}, refs)
	_, err := wd.st.Put(ctx, config.ManifestKey, next.Encode(), obj.Version)
	wd.recordAccepted()
	return err
}

const baseTemplate = `deployment: test
regions:
  - name: north
    capacity: 10
failure_domains:
  - name: north-a
    region: north
    entry_vms: 2
pools:
  - name: desk
    slots: 4
    connections: 400
teams:
  - name: team_a
    rate: %d/s
    burst: 10
    routes: [look]
routes:
  - name: look
    path: /look/
    methods: [GET]
    idempotent: true
    access: teams
    pool: desk
    deadline: 2s
    max_body: 1KiB
`

func (wd *simulatedFleet) isCut(from, to int) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.partitions[[2]int{min(from, to), max(from, to)}]
}

// oneWay returns the one-way latency of section 1.1 of docs/design.md for the slower of the two deployments.
func (wd *simulatedFleet) oneWay(from, to int) time.Duration {
	if from%wd.regions == to%wd.regions {
		return time.Millisecond
	}
	return 55 * time.Millisecond
}

// exchangeDigests exchanges digests as section 10 of docs/design.md describes: with two VMs of the own failure domain
// and one VM of another one.
func (mb *simulatedVM) exchangeDigests(ctx context.Context) {
	defer mb.done.Done()
	local := slices.DeleteFunc(slices.Clone(mb.wd.domains[mb.domain]), func(ot *simulatedVM) bool { return ot == mb })
	remote := slices.DeleteFunc(slices.Clone(mb.wd.vms), func(ot *simulatedVM) bool { return ot.domain == mb.domain })
	time.Sleep(time.Duration(mb.rnd.Int64N(int64(500 * time.Millisecond))))
	for sleep(ctx, 500*time.Millisecond) {
		mb.rnd.Shuffle(len(local), func(a, b int) { local[a], local[b] = local[b], local[a] })
		for _, ot := range local[:min(2, len(local))] {
			mb.exchange(ctx, ot)
		}
		if len(remote) > 0 {
			mb.exchange(ctx, remote[mb.rnd.IntN(len(remote))])
		}
	}
}

// exchange sends the digest of each VM to the other one.
func (mb *simulatedVM) exchange(ctx context.Context, ot *simulatedVM) {
	if mb.wd.silent.Load() || mb.wd.isCut(mb.domain, ot.domain) || !sleep(ctx, mb.wd.oneWay(mb.domain, ot.domain)) {
		return
	}
	mine, theirs := mb.digest(), ot.digest()
	ot.receiveDigest(mine)
	mb.receiveDigest(theirs)
}

// digest returns the known generations of the VMs in the own failure domain. It is empty while the process is not
// running.
func (mb *simulatedVM) digest() map[id.VM]id.Generation {
	dg := make(map[id.VM]id.Generation)
	fl := mb.fl.Load()
	if fl == nil {
		return dg
	}
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.view[mb.name], _ = fl.Manifest()
	for _, ot := range mb.wd.domains[mb.domain] {
		if gen, ok := mb.view[ot.name]; ok {
			dg[ot.name] = gen
		}
	}
	return dg
}

func (mb *simulatedVM) receiveDigest(dg map[id.VM]id.Generation) {
	mb.mu.Lock()
	for name, gen := range dg {
		if name != mb.name {
			mb.view[name] = max(mb.view[name], gen)
		}
	}
	mb.mu.Unlock()
	if fl := mb.fl.Load(); fl != nil {
		for name, gen := range dg {
			fl.Hint(gen, string(name))
		}
	}
}

// Holders implements Peers.
func (mb *simulatedVM) Holders(gen id.Generation) []Holder {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var vms []*simulatedVM
	for _, ot := range mb.wd.vms {
		if ot != mb && (gen == 0 || mb.view[ot.name] >= gen) {
			vms = append(vms, ot)
		}
	}
	// Each VM orders VMs at the same distance differently, which spreads the load.
	slices.SortFunc(vms, func(va, vb *simulatedVM) int {
		return cmp.Or(
			cmp.Compare(mb.wd.oneWay(mb.domain, va.domain), mb.wd.oneWay(mb.domain, vb.domain)),
			cmp.Compare(va.nr^mb.nr, vb.nr^mb.nr))
	})
	hds := make([]Holder, 0, maxPeersAsked)
	for _, ot := range vms[:min(len(vms), maxPeersAsked)] {
		hds = append(hds, Holder{VM: ot.name, Client: &simulatedLink{from: mb, to: ot}})
	}
	return hds
}

// simulatedLink is the connection from one VM to another.
type simulatedLink struct {
	peerpb.Peer
	from, to *simulatedVM
}

// roundTrip waits for one round-trip time and returns the process at the other end. Between failure domains that are
// cut off from each other, it waits until the context ends.
func (lk *simulatedLink) roundTrip(ctx context.Context) (*Follower, error) {
	wd := lk.from.wd
	if wd.isCut(lk.from.domain, lk.to.domain) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !sleep(ctx, 2*wd.oneWay(lk.from.domain, lk.to.domain)) {
		return nil, ctx.Err()
	}
	if fl := lk.to.fl.Load(); fl != nil {
		return fl, nil
	}
	return nil, errors.New("connection refused")
}

func (lk *simulatedLink) GetManifest(ctx context.Context, _ *peerpb.GetManifestRequest) (*peerpb.GetManifestReply, error) {
	fl, err := lk.roundTrip(ctx)
	if err != nil {
		return nil, err
	}
	gen, raw := fl.Manifest()
	return &peerpb.GetManifestReply{Generation: uint64(gen), Manifest: raw}, nil
}

func (lk *simulatedLink) GetParts(ctx context.Context, rq *peerpb.GetPartsRequest) (*peerpb.GetPartsReply, error) {
	fl, err := lk.roundTrip(ctx)
	if err != nil {
		return nil, err
	}
	rp := new(peerpb.GetPartsReply)
	for _, digest := range rq.GetSha256() {
		content, ok := fl.Part(digest)
		if !ok {
			return rp, errors.New("peer does not have the part")
		}
		lk.from.wd.mu.Lock()
		if lk.from.wd.corrupt {
			content = append(slices.Clone(content), '#')
		}
		lk.from.wd.mu.Unlock()
		rp.Parts = append(rp.Parts, &peerpb.Part{Sha256: digest, Content: content})
	}
	return rp, nil
}
