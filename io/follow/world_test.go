package follow

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

// world is a fleet of followers, a store and the digests between the followers, in simulated time.
type world struct {
	st       *platform.Store
	vms      []*member
	regions  int
	domains  [][]*member
	watchers int
	silent   atomic.Bool                           // digests are not exchanged
	newer    func(gen, inForce id.Generation) bool // replaces the follower's rule if not nil

	mu       sync.Mutex
	cut      map[[2]int]bool // pairs of failure domains without connection
	corrupt  bool            // peers give damaged parts
	accepted map[id.Generation]string
	faults   []string // what the oracle found
	changes  int
}

// member is a VM with its current process.
type member struct {
	wd       *world
	nr       int
	name     id.VM
	domain   int
	rank     int // within the failure domain
	store    *platform.Client
	evidence atomic.Bool // the freshness rule needs the store
	silent   time.Time   // since when the store is cut off, zero if it is not

	fl     atomic.Pointer[Follower] // nil while the process is not running
	cancel context.CancelFunc
	done   sync.WaitGroup
	rnd    *rand.Rand

	mu      sync.Mutex
	view    map[id.VM]id.Generation
	applied []applied
}

// applied is one call of Apply.
type applied struct {
	gen id.Generation
	raw string
	ef  *config.Effective
	at  time.Time
}

// newWorld starts a fleet. sizes are the numbers of VMs in each failure domain, watchers of which watch the store.
func newWorld(sizes []int, regions, watchers int, newer func(gen, inForce id.Generation) bool) *world {
	wd := &world{
		st: platform.NewStore(platform.StoreOptions{}), regions: regions,
		newer: newer, watchers: watchers, domains: make([][]*member, len(sizes)),
		cut: make(map[[2]int]bool), accepted: make(map[id.Generation]string),
	}
	for domain, size := range sizes {
		for rank := range size {
			mb := &member{wd: wd, nr: len(wd.vms), domain: domain, rank: rank, store: wd.st.NewClient()}
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

func (wd *world) stop() {
	for _, mb := range wd.vms {
		mb.stop()
	}
}

func (mb *member) start() {
	ctx, cancel := context.WithCancel(context.Background())
	mb.mu.Lock()
	mb.cancel, mb.applied, mb.view = cancel, nil, make(map[id.VM]id.Generation)
	mb.mu.Unlock()
	mb.rnd = rand.New(rand.NewPCG(uint64(mb.nr), 1))
	fl := New(Options{
		Store: mb.store, Peers: mb, Apply: mb.apply, Seed: uint64(mb.nr) + 1,
		WatchStore:   func() bool { return mb.rank < mb.wd.watchers },
		KeepEvidence: func() bool { return mb.evidence.Load() },
	})
	if mb.wd.newer != nil {
		fl.newer = mb.wd.newer
	}
	mb.fl.Store(fl)
	mb.done.Add(2)
	go mb.run(ctx, fl)
	go mb.loop(ctx)
}

func (mb *member) stop() {
	mb.fl.Store(nil)
	mb.cancel()
	mb.done.Wait()
}

func (mb *member) run(ctx context.Context, fl *Follower) {
	defer mb.done.Done()
	fl.Run(ctx)
}

// apply is the oracle for one process: generations rise.
func (mb *member) apply(ef *config.Effective, raw []byte) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if last := len(mb.applied) - 1; last >= 0 && mb.applied[last].gen >= ef.Generation {
		mb.wd.fault("%s goes from generation %d to %d", mb.name, mb.applied[last].gen, ef.Generation)
	}
	mb.applied = append(mb.applied, applied{gen: ef.Generation, raw: string(raw), ef: ef, at: time.Now()})
}

func (wd *world) fault(format string, args ...any) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.faults = append(wd.faults, fmt.Sprintf(format, args...))
}

// check is the oracle for contents and evidence. It returns what it found.
func (wd *world) check() []string {
	wd.learn()
	for _, mb := range wd.vms {
		mb.mu.Lock()
		for _, ap := range mb.applied {
			mf, err := config.ParseManifest([]byte(ap.raw))
			if err != nil || wd.accepted[ap.gen] != ap.raw || fmt.Sprint(int64(ap.ef.Teams[0].Rate)/1000) != mf.Comment {
				wd.fault("%s has another content of generation %d than was accepted", mb.name, ap.gen)
			}
		}
		mb.mu.Unlock()
		at, ok := mb.fl.Load().StoreEvidence()
		if ok && (at.After(time.Now()) || !mb.silent.IsZero() && at.After(mb.silent)) {
			wd.fault("%s has evidence of a store that it could not reach", mb.name)
		}
	}
	return wd.faults
}

// learn takes note of the manifest that is accepted now. It is called between any two that can be accepted.
func (wd *world) learn() (store.Object, *config.Manifest) {
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

// accept proposes a configuration that only its number distinguishes, as an operator does: parts first.
func (wd *world) accept(ctx context.Context, keyParts int) error {
	obj, mf := wd.learn()
	wd.changes++
	parts := map[string][]byte{config.BasePartName: fmt.Appendf(nil, baseForm, wd.changes)}
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
	wd.learn()
	return err
}

const baseForm = `deployment: test
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

func (wd *world) isCut(from, to int) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.cut[[2]int{min(from, to), max(from, to)}]
}

// oneWay is the latency of section 1.1 of docs/design.md for the slower of the two deployments.
func (wd *world) oneWay(from, to int) time.Duration {
	if from%wd.regions == to%wd.regions {
		return time.Millisecond
	}
	return 55 * time.Millisecond
}

// loop exchanges digests as section 10 of docs/design.md says: with two VMs of the own failure domain and one other.
func (mb *member) loop(ctx context.Context) {
	defer mb.done.Done()
	near := slices.DeleteFunc(slices.Clone(mb.wd.domains[mb.domain]), func(ot *member) bool { return ot == mb })
	far := slices.DeleteFunc(slices.Clone(mb.wd.vms), func(ot *member) bool { return ot.domain == mb.domain })
	time.Sleep(time.Duration(mb.rnd.Int64N(int64(500 * time.Millisecond))))
	for sleep(ctx, 500*time.Millisecond) {
		mb.rnd.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
		for _, ot := range near[:min(2, len(near))] {
			mb.exchange(ctx, ot)
		}
		if len(far) > 0 {
			mb.exchange(ctx, far[mb.rnd.IntN(len(far))])
		}
	}
}

// exchange passes the views both ways.
func (mb *member) exchange(ctx context.Context, ot *member) {
	if mb.wd.silent.Load() || mb.wd.isCut(mb.domain, ot.domain) || !sleep(ctx, mb.wd.oneWay(mb.domain, ot.domain)) {
		return
	}
	mine, theirs := mb.digest(), ot.digest()
	ot.hear(mine)
	mb.hear(theirs)
}

// digest returns the generations of the VMs of the own failure domain, the own one as it is now. It is empty while
// the process is not running.
func (mb *member) digest() map[id.VM]id.Generation {
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

func (mb *member) hear(dg map[id.VM]id.Generation) {
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
func (mb *member) Holders(gen id.Generation) []Holder {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var vms []*member
	for _, ot := range mb.wd.vms {
		if ot != mb && (gen == 0 || mb.view[ot.name] >= gen) {
			vms = append(vms, ot)
		}
	}
	// VMs at the same distance are asked in an order of their own by each VM, which spreads the load.
	slices.SortFunc(vms, func(va, vb *member) int {
		return cmp.Or(
			cmp.Compare(mb.wd.oneWay(mb.domain, va.domain), mb.wd.oneWay(mb.domain, vb.domain)),
			cmp.Compare(va.nr^mb.nr, vb.nr^mb.nr))
	})
	hds := make([]Holder, 0, peersAsked)
	for _, ot := range vms[:min(len(vms), peersAsked)] {
		hds = append(hds, Holder{VM: ot.name, Client: &link{from: mb, to: ot}})
	}
	return hds
}

// link is the connection from one VM to another.
type link struct {
	peerpb.Peer
	from, to *member
}

// travel takes the time of a round trip and returns the process at the other end. Calls over a cut connection get no answer.
func (lk *link) travel(ctx context.Context) (*Follower, error) {
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

func (lk *link) GetManifest(ctx context.Context, _ *peerpb.GetManifestRequest) (*peerpb.GetManifestReply, error) {
	fl, err := lk.travel(ctx)
	if err != nil {
		return nil, err
	}
	gen, raw := fl.Manifest()
	return &peerpb.GetManifestReply{Generation: uint64(gen), Manifest: raw}, nil
}

func (lk *link) GetParts(ctx context.Context, rq *peerpb.GetPartsRequest) (*peerpb.GetPartsReply, error) {
	fl, err := lk.travel(ctx)
	if err != nil {
		return nil, err
	}
	rp := new(peerpb.GetPartsReply)
	for _, digest := range rq.GetSha256() {
		content, ok := fl.Part(digest)
		if !ok {
			return rp, errors.New("part is not here")
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
