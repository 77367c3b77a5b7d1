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

// Record is the ownership record of a failure domain, stored as JSON at RecordKey. A Record is immutable; its
// methods return a new one, or the same one when nothing changes.
type Record struct {
	FailureDomain id.FailureDomain `json:"failure_domain"`
	PPM           unit.PPM         `json:"ppm"` // fraction of the failure domain
	Entries       []Entry          `json:"entries"`
}

// Entry is what one VM owns.
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

// Proof is what a joining VM knows about the holders of other entries.
type Proof struct {
	// BoundAddress is the peer address that this process has bound. An entry of another process with that address
	// belongs to one that is gone, because a paused process keeps its socket.
	BoundAddress string
	// Gone reports whether the platform's list no longer shows the holder of an entry. It may be nil.
	Gone func(Entry) bool
}

func (pf Proof) provesGone(en Entry) bool {
	return pf.BoundAddress != "" && en.PeerAddress == pf.BoundAddress || pf.Gone != nil && pf.Gone(en)
}

// RecordKey returns the store key of the ownership record of a failure domain.
func RecordKey(fd id.FailureDomain) string { return "shares/" + string(fd) }

// NewRecord returns a record without entries.
func NewRecord(fd id.FailureDomain, ppm unit.PPM) *Record {
	return &Record{FailureDomain: fd, PPM: ppm, Entries: []Entry{}}
}

// ParseRecord reads a stored record. It refuses unknown fields, names that are not valid, fractions that are not
// positive, two entries of the same VM or address, and entries whose sum exceeds the fraction of the failure domain.
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
			return errors.Errorf("entry %d: VM %q has %d ppm of %d", nr, en.VM, en.PPM, rc.PPM)
		case vms[en.VM]:
			return errors.Errorf("entry %d: VM %q is listed twice", nr, en.VM)
		case addresses[en.PeerAddress]:
			return errors.Errorf("entry %d: peer address %q is listed twice", nr, en.PeerAddress)
		}
		vms[en.VM], addresses[en.PeerAddress] = true, true
		sum += en.PPM
		if sum > rc.PPM {
			return errors.Errorf("entries add up to more than %d ppm", rc.PPM)
		}
	}
	return nil
}

// Encode returns the stored form.
func (rc *Record) Encode() []byte {
	src, err := json.Marshal(rc)
	if err != nil {
		panic(err) // a Record has only strings, numbers and lists
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

// Free returns the fraction that no entry has.
func (rc *Record) Free() unit.PPM {
	free := rc.PPM
	for _, en := range rc.Entries {
		free -= en.PPM
	}
	return free
}

// Join gives self an entry: all that earlier processes at the same address or of the same VM name had and that proof
// shows to be gone, and then, up to want, what is free and what other VMs that are gone had. self.PPM is ignored. The
// result is rc itself if nothing changes; self has no entry in it if another process that may be alive holds its name
// or its address, or if nothing is to be had.
//
// takenOver reports that the entry may contain what an earlier holder has lent. Then the caller waits
// Settings.ReuseAfter from the successful write before it uses more than it used before. An entry that self already
// has counts as taken over, because a write whose response was lost may have put it there.
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

// classify sorts an entry into the groups of joining. It reports false if the entry excludes self.
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

// raiseTo raises self to want, from the free fraction first.
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

// Reclaim adds the entries of VMs that are gone to that of self. It changes nothing if self has no entry. The caller
// waits Settings.ReuseAfter from the successful write before it uses the added fraction.
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

// Release lowers the entry of self from used to keep, so that another VM finds the difference free at once. The caller
// used the fraction used, lowered its use to keep with Ledger.SetOwned, and has waited Settings.ReuseAfter since, so
// that nothing of the difference is still lent. Nothing changes if the entry is not exactly used, because then it
// contains a fraction that self took over and that the earlier holder may have lent, or if keep is not positive.
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

// sort orders the entries by VM name, so that equal records have equal stored forms.
func (rc *Record) sort() {
	slices.SortFunc(rc.Entries, func(en, ot Entry) int { return en.ID().Compare(ot.ID()) })
}

// decodeStrictly reads exactly one JSON value without unknown fields.
func decodeStrictly(src []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the value")
	}
	return nil
}
