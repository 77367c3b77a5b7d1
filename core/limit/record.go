package limit

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"damasklatch/core/id"
	"damasklatch/core/unit"

	"github.com/pkg/errors"
)

// Record is the ownership record of a failure domain: which VM owns which fraction of the limits. It is stored as
// JSON at RecordKey. A Record is immutable; its methods return a new one, or the same one if nothing changes.
type Record struct {
	FailureDomain id.FailureDomain `json:"failure_domain"`
	PPM           unit.PPM         `json:"ppm"` // fraction of the limits that the failure domain owns
	Entries       []Entry          `json:"entries"`
}

// Entry is the fraction that one VM owns.
type Entry struct {
	VM          id.VM          `json:"vm"`
	Incarnation id.Incarnation `json:"incarnation"`
	PeerAddress string         `json:"peer_address"`
	PPM         unit.PPM       `json:"ppm"`
}

// ID returns the VM incarnation that owns the entry.
func (en Entry) ID() id.VMIncarnation {
	return id.VMIncarnation{VM: en.VM, Incarnation: en.Incarnation}
}

// Proof is evidence that the owners of other entries no longer run. The zero value proves nothing.
type Proof struct {
	// BoundAddress is the peer address that this process has bound. If the entry of another process has the same
	// address, that process has ended, because a process that is only paused keeps its socket.
	BoundAddress string
	// Gone reports whether the platform no longer lists the owner of an entry. It may be nil.
	Gone func(Entry) bool
}

// provesGone reports whether the owner of the entry no longer runs.
func (pf Proof) provesGone(en Entry) bool {
	return pf.BoundAddress != "" && en.PeerAddress == pf.BoundAddress || pf.Gone != nil && pf.Gone(en)
}

// RecordKey returns the store key of the ownership record of a failure domain.
func RecordKey(fd id.FailureDomain) string { return "shares/" + string(fd) }

// NewRecord returns a record without entries.
func NewRecord(fd id.FailureDomain, ppm unit.PPM) *Record {
	return &Record{FailureDomain: fd, PPM: ppm, Entries: []Entry{}}
}

// ParseRecord decodes a stored record. It returns an error for unknown fields, invalid names, fractions that are not
// positive, two entries with the same VM or address, and entries that add up to more than the fraction of the failure
// domain.
func ParseRecord(src []byte) (*Record, error) {
	rc := new(Record)
	if err := decodeStrictly(src, rc); err != nil {
		return nil, errors.Wrap(err, "ownership record")
	}
	if err := rc.validate(); err != nil {
		return nil, errors.Wrapf(err, "ownership record of failure domain %q", rc.FailureDomain)
	}
	return rc, nil
}

func (rc *Record) validate() error {
	if !id.ValidName(rc.FailureDomain) {
		return errors.New("the name of the failure domain is not valid")
	}
	if rc.PPM < 0 || rc.PPM > unit.Whole {
		return errors.Errorf("fraction %d ppm is outside 0 to %d", rc.PPM, unit.Whole)
	}
	var sum unit.PPM
	vms, addresses := make(map[id.VM]bool), make(map[string]bool)
	for nr, en := range rc.Entries {
		switch {
		case !id.ValidName(en.VM):
			return errors.Errorf("entry %d: VM name %q is not valid", nr, en.VM)
		case en.Incarnation == 0:
			return errors.Errorf("entry %d: VM %q has no incarnation", nr, en.VM)
		case en.PeerAddress == "":
			return errors.Errorf("entry %d: VM %q has no peer address", nr, en.VM)
		case en.PPM <= 0 || en.PPM > rc.PPM:
			return errors.Errorf("entry %d: VM %q has %d ppm, outside 1 to %d", nr, en.VM, en.PPM, rc.PPM)
		case vms[en.VM]:
			return errors.Errorf("entry %d: VM %q is listed twice", nr, en.VM)
		case addresses[en.PeerAddress]:
			return errors.Errorf("entry %d: peer address %q is listed twice", nr, en.PeerAddress)
		}
		vms[en.VM], addresses[en.PeerAddress] = true, true
		sum += en.PPM
		if sum > rc.PPM {
			return errors.Errorf("entries add up to more than the %d ppm of the failure domain", rc.PPM)
		}
	}
	return nil
}

// Encode returns the JSON to store.
func (rc *Record) Encode() []byte {
	src, err := json.Marshal(rc)
	if err != nil {
		panic(err) // a Record has only strings, numbers and lists, which always encode
	}
	return src
}

// Entry returns the entry of a VM incarnation.
func (rc *Record) Entry(self id.VMIncarnation) (Entry, bool) {
	for _, en := range rc.Entries {
		if en.ID() == self {
			return en, true
		}
	}
	return Entry{}, false
}

// Free returns the fraction that no VM owns.
func (rc *Record) Free() unit.PPM {
	free := rc.PPM
	for _, en := range rc.Entries {
		free -= en.PPM
	}
	return free
}

// Join gives self an entry. The entry gets everything that earlier processes with the same address or VM name owned
// and that proof shows to be gone. If this is less than want, it is raised towards want, first from the free fraction
// and then from the entries of other VMs that are gone. self.PPM is ignored. Join returns rc itself if nothing
// changes. This includes the cases in which self gets no entry: another process that may still run holds its name or
// address, or no fraction is available.
//
// takenOver reports whether the entry may contain a fraction that an earlier owner has lent. The caller must then
// wait Settings.ReuseAfter from the successful write before it uses more than before. An entry that self already has
// counts as taken over, because it may come from a write whose response was lost.
func (rc *Record) Join(self Entry, want unit.PPM, proof Proof) (next *Record, takenOver bool) {
	jn := joinState{self: self, proof: proof, free: rc.Free()}
	jn.self.PPM = 0
	for _, en := range rc.Entries {
		if !jn.classify(en) {
			return rc, false
		}
	}
	jn.raiseTo(want)
	if jn.self.PPM <= 0 || jn.self.PPM == jn.owned {
		return rc, jn.takenOver
	}
	next = &Record{FailureDomain: rc.FailureDomain, PPM: rc.PPM, Entries: append(jn.others, jn.gone...)}
	next.Entries = append(next.Entries, jn.self)
	next.sort()
	return next, jn.takenOver
}

// joinState is the state of one call of Join.
type joinState struct {
	self      Entry
	proof     Proof
	free      unit.PPM
	owned     unit.PPM // fraction that self already has
	others    []Entry
	gone      []Entry
	takenOver bool
}

// classify adds an entry to self, gone or others. It returns false if the entry prevents self from joining.
func (jn *joinState) classify(en Entry) bool {
	own := en.VM == jn.self.VM || en.PeerAddress == jn.self.PeerAddress
	switch {
	case en.ID() == jn.self.ID():
		jn.owned = en.PPM
		jn.self.PPM += en.PPM
		jn.takenOver = true
	case own && jn.proof.provesGone(en):
		jn.self.PPM += en.PPM
		jn.takenOver = true
	case own:
		return false
	case jn.proof.provesGone(en):
		jn.gone = append(jn.gone, en)
	default:
		jn.others = append(jn.others, en)
	}
	return true
}

// raiseTo raises the fraction of self to want if possible, from the free fraction first.
func (jn *joinState) raiseTo(want unit.PPM) {
	if add := min(want-jn.self.PPM, jn.free); add > 0 {
		jn.self.PPM += add
	}
	for nr := range jn.gone {
		add := min(want-jn.self.PPM, jn.gone[nr].PPM)
		if add <= 0 {
			break
		}
		jn.self.PPM += add
		jn.gone[nr].PPM -= add
		jn.takenOver = true
	}
	jn.gone = slices.DeleteFunc(jn.gone, func(en Entry) bool { return en.PPM <= 0 })
}

// Reclaim adds the entries of VMs that are gone to the entry of self. It changes nothing if self has no entry. The
// caller must wait Settings.ReuseAfter from the successful write before it uses the added fraction.
func (rc *Record) Reclaim(self id.VMIncarnation, gone func(Entry) bool) (next *Record, takenOver bool) {
	own, ok := rc.Entry(self)
	if !ok {
		return rc, false
	}
	next = &Record{FailureDomain: rc.FailureDomain, PPM: rc.PPM}
	for _, en := range rc.Entries {
		switch {
		case en.ID() == self:
		case gone(en):
			own.PPM += en.PPM
			takenOver = true
		default:
			next.Entries = append(next.Entries, en)
		}
	}
	if !takenOver {
		return rc, false
	}
	next.Entries = append(next.Entries, own)
	next.sort()
	return next, true
}

// Release lowers the entry of self from used to keep, so that another VM can join with the difference at once. Before
// the call, the caller lowered its use from used to keep with Ledger.SetOwned and then waited Settings.ReuseAfter, so
// that nothing of the difference is still lent. Release changes nothing if keep is not positive, or if the entry
// differs from used. In the second case the entry contains a fraction that self took over and that the earlier owner
// may have lent.
func (rc *Record) Release(self id.VMIncarnation, used, keep unit.PPM) *Record {
	own, ok := rc.Entry(self)
	if !ok || own.PPM != used || keep <= 0 || keep >= used {
		return rc
	}
	next := &Record{FailureDomain: rc.FailureDomain, PPM: rc.PPM, Entries: slices.Clone(rc.Entries)}
	for nr := range next.Entries {
		if next.Entries[nr].ID() == self {
			next.Entries[nr].PPM = keep
		}
	}
	return next
}

// sort orders the entries by VM name, so that equal records have equal JSON.
func (rc *Record) sort() {
	slices.SortFunc(rc.Entries, func(en, ot Entry) int { return en.ID().Compare(ot.ID()) })
}

// decodeStrictly decodes exactly one JSON value. It refuses unknown fields and trailing data.
func decodeStrictly(src []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
