package configchange_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/configchange"
	"damasklatch/io/store"
)

// kind is the command that a job runs.
type kind string

const (
	propose  kind = "propose"
	acceptPP kind = "accept"
	issue    kind = "issue"
	withdraw kind = "withdraw"
)

// job is one command of an operator and the outcome reported to the operator.
type job struct {
	kind    kind
	op      id.Operation
	change  config.Change
	sources *config.Sources
	key     config.Key
	limit   time.Duration
	started time.Time

	done   bool
	result *configchange.Result
	err    error
}

// operator runs one job at a time with its own client of the store.
type operator struct {
	wd            *environment
	client        *platform.Client
	acc           *configchange.Client
	busy          bool
	pendingFaults *platform.Faults // guarded by wd.mu
}

// faultInjectingStore is an operator's store whose faults begin with the next update of the manifest.
type faultInjectingStore struct {
	store.Store
	op *operator
}

func (ar *faultInjectingStore) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	ar.op.wd.mu.Lock()
	fa := ar.op.pendingFaults
	if key == config.ManifestKey && len(value) > 0 && fa != nil {
		ar.op.pendingFaults = nil
		ar.op.client.SetClientFaults(*fa)
	}
	ar.op.wd.mu.Unlock()
	return ar.Store.Put(ctx, key, value, expected)
}

// environment is a store, the operators, and a record of what they did.
type environment struct {
	st   *platform.Store
	ops  []*operator
	wg   sync.WaitGroup
	next int

	mu        sync.Mutex
	jobs      []*job
	proposals []*job                // stored proposals
	issued    []config.Key          // keys whose issue was reported as successful
	announced []*config.Manifest    // announcements that were not checked yet
	history   []config.HistoryEntry // accepted changes, by generation from 1
}

// countOutcomes counts the reported outcomes by kind of job.
func (wd *environment) countOutcomes(into map[string]int) {
	for _, jb := range wd.jobs {
		told := "ok"
		if jb.err != nil {
			told = fmt.Sprintf("%T", jb.err)
		}
		into[string(jb.kind)+" "+told]++
	}
}

// newEnvironment returns an environment with three operators. wrap may replace the operators' store.
func newEnvironment(wrap func(store.Store) store.Store) *environment {
	wd := &environment{st: platform.NewStore(platform.StoreOptions{})}
	for range 3 {
		op := &operator{wd: wd, client: wd.st.NewClient()}
		op.acc = configchange.New(configchange.Options{Store: wrap(&faultInjectingStore{Store: op.client, op: op}), Announce: wd.announce})
		wd.ops = append(wd.ops, op)
	}
	return wd
}

func (wd *environment) announce(_ context.Context, src []byte) {
	mf, err := config.ParseManifest(src)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if err != nil {
		mf = &config.Manifest{Comment: err.Error()}
	}
	wd.announced = append(wd.announced, mf)
}

// arm prepares faults that begin with the operator's next update of the manifest. Nil removes them.
func (op *operator) arm(fa *platform.Faults) {
	op.wd.mu.Lock()
	defer op.wd.mu.Unlock()
	op.pendingFaults = fa
}

// sources returns a small configuration. Different numbers result in different contents.
func sources(number int, withShop bool) *config.Sources {
	base := fmt.Sprintf(`deployment: small
regions: [{name: north}]
failure_domains: [{name: north-a, region: north, entry_vms: 1}]
teams:
  - {name: lab, rate: %d/s, burst: 10}
`, number)
	if withShop {
		base += "  - {name: shop, rate: 1/s, burst: 1}\n"
	}
	return &config.Sources{
		Base:     config.File{Name: "base.yaml", Content: []byte(base)},
		Overlays: []config.File{{Name: "north-a.yaml", Content: []byte("site: north-a\nfailure_domain: north-a\n")}},
		Blocks:   []config.File{{Name: "blocks.txt", Content: fmt.Appendf(nil, "10.%d.0.0/16 north-a\n", number%7)}},
	}
}

// newJob returns a job with a new operation id.
func (wd *environment) newJob(kd kind, limit time.Duration) *job {
	wd.next++
	op := id.Operation(fmt.Sprintf("%032x", wd.next))
	return &job{kind: kd, op: op, limit: limit, change: config.Change{
		OperationID: op, Author: fmt.Sprint("author-", wd.next), Time: time.Now(),
	}}
}

// start runs the job in the background.
func (op *operator) start(ctx context.Context, jb *job) {
	op.wd.mu.Lock()
	defer op.wd.mu.Unlock()
	op.busy = true
	jb.started = time.Now()
	op.wd.jobs = append(op.wd.jobs, jb)
	op.wd.wg.Add(1)
	go op.run(ctx, jb)
}

func (op *operator) run(ctx context.Context, jb *job) {
	defer op.wd.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, jb.limit)
	defer cancel()
	rs, err := op.perform(ctx, jb)
	op.wd.mu.Lock()
	defer op.wd.mu.Unlock()
	jb.result, jb.err, jb.done = rs, err, true
	op.busy = false
	switch {
	case err != nil:
	case jb.kind == propose:
		op.wd.proposals = append(op.wd.proposals, jb)
	case jb.kind == issue:
		op.wd.issued = append(op.wd.issued, jb.key)
	}
}

func (op *operator) perform(ctx context.Context, jb *job) (*configchange.Result, error) {
	switch jb.kind {
	case propose:
		_, _, err := op.acc.Propose(ctx, jb.change, jb.sources)
		return nil, err
	case acceptPP:
		return op.acc.Accept(ctx, jb.op, time.Now())
	case issue:
		return op.acc.IssueKey(ctx, jb.change, jb.key)
	default:
		return op.acc.WithdrawKey(ctx, jb.change, jb.key.Digest.String())
	}
}

// current reads the manifest with all faults of the store disabled.
func (wd *environment) current() *config.Manifest {
	fa := wd.st.Faults()
	wd.st.SetFaults(platform.Faults{})
	defer wd.st.SetFaults(fa)
	obj, err := wd.st.Get(context.Background(), config.ManifestKey)
	if err != nil {
		return nil
	}
	mf, err := config.ParseManifest(obj.Value)
	if err != nil {
		return &config.Manifest{Comment: err.Error()}
	}
	return mf
}

// check returns all violations found so far.
func (wd *environment) check() []error {
	mf := wd.current()
	wd.mu.Lock()
	defer wd.mu.Unlock()
	errs := wd.recordHistory(mf)
	for _, an := range wd.announced {
		if !wd.inHistory(config.HistoryEntry{Generation: an.Generation, OperationID: an.OperationID, Author: an.Author}) {
			errs = append(errs, fmt.Errorf("announced generation %d of operation %s, which was not accepted: %s",
				an.Generation, an.OperationID, an.Comment))
		}
	}
	wd.announced = nil
	for _, jb := range wd.jobs {
		if jb.done {
			errs = append(errs, wd.verifyOutcome(jb)...)
		}
	}
	return errs
}

// recordHistory adds new entries of the manifest's history to the record and checks that the known entries are
// unchanged.
func (wd *environment) recordHistory(mf *config.Manifest) []error {
	if mf == nil {
		if len(wd.history) > 0 {
			return []error{errors.New("the manifest was deleted")}
		}
		return nil
	}
	if mf.Generation < id.Generation(len(wd.history)) || mf.Generation == 0 {
		return []error{fmt.Errorf("generation went from %d to %d: %s", len(wd.history), mf.Generation, mf.Comment)}
	}
	var errs []error
	for _, he := range mf.History {
		switch nr := int(he.Generation) - 1; {
		case nr < len(wd.history):
			if wd.history[nr] != he {
				errs = append(errs, fmt.Errorf("history changed from %v to %v", wd.history[nr], he))
			}
		case nr > len(wd.history):
			return append(errs, fmt.Errorf("history has a gap before %v", he))
		default:
			if _, ok := wd.accepted(he.OperationID); ok {
				errs = append(errs, fmt.Errorf("operation %s was accepted twice", he.OperationID))
			}
			wd.history = append(wd.history, he)
		}
	}
	return errs
}

func (wd *environment) accepted(op id.Operation) (config.HistoryEntry, bool) {
	nr := slices.IndexFunc(wd.history, func(he config.HistoryEntry) bool { return he.OperationID == op })
	if nr < 0 {
		return config.HistoryEntry{}, false
	}
	return wd.history[nr], true
}

func (wd *environment) inHistory(he config.HistoryEntry) bool { return slices.Contains(wd.history, he) }

// verifyOutcome compares the reported outcome of a job with the history.
func (wd *environment) verifyOutcome(jb *job) []error {
	he, ok := wd.accepted(jb.op)
	wrong := func(format string, args ...any) []error {
		return []error{fmt.Errorf("%s %s: reported %v %v, but "+format, append([]any{jb.kind, jb.op, jb.result, jb.err}, args...)...)}
	}
	var conflict *configchange.ConflictError
	var unknown *configchange.UnknownError
	var unreachable *configchange.UnreachableError
	var input *configchange.InputError
	var faults config.Errors
	switch {
	case jb.kind == propose:
		return nil // checked when the proposal is accepted
	case jb.err == nil:
		return wd.verifySuccess(jb, he, ok, wrong)
	case errors.As(jb.err, &conflict):
		if ok {
			return wrong("it was accepted as generation %d", he.Generation)
		}
		for _, he := range conflict.AcceptedFirst {
			if !wd.inHistory(he) {
				return wrong("%v was not accepted", he)
			}
		}
		if len(conflict.AcceptedFirst) == 0 || conflict.AcceptedFirst[0].Generation != conflict.Base+1 {
			return wrong("the change accepted first is missing")
		}
	case errors.As(jb.err, &unknown):
	case errors.As(jb.err, &unreachable):
		// A proposal may be accepted by another job at the same time.
		if ok && jb.kind != acceptPP {
			return wrong("it was accepted as generation %d", he.Generation)
		}
	case errors.As(jb.err, &input), errors.As(jb.err, &faults):
		if ok {
			return wrong("it was accepted as generation %d", he.Generation)
		}
		if jb.kind == acceptPP || jb.kind == withdraw {
			return wrong("the proposal or key exists")
		}
	default:
		return wrong("package configchange doesn't return this error")
	}
	return nil
}

func (wd *environment) verifySuccess(jb *job, he config.HistoryEntry, ok bool, wrong func(string, ...any) []error) []error {
	switch {
	case ok && he.Generation == jb.result.Generation:
		return nil
	case ok:
		return wrong("it was accepted as generation %d", he.Generation)
	case jb.kind == withdraw && jb.result.AlreadyInEffect:
		return nil // the key was already revoked, which verifyEnd checks
	default:
		return wrong("it was not accepted")
	}
}

// replay returns the keys and the base file that result from the history.
func (wd *environment) replay() (map[config.KeyDigest]config.Key, string) {
	keys, base := map[config.KeyDigest]config.Key{}, ""
	for _, he := range wd.history {
		for _, jb := range wd.jobs {
			if jb.op != he.OperationID {
				continue
			}
			switch jb.kind {
			case propose:
				base = string(jb.sources.Base.Content)
			case issue:
				keys[jb.key.Digest] = jb.key
			case withdraw:
				ky := keys[jb.key.Digest]
				ky.Revoked = true
				keys[jb.key.Digest] = ky
			}
		}
	}
	return keys, base
}
