package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"damasklatch/core/id"
)

// ManifestKey is the store key of the manifest.
const ManifestKey = "config/manifest"

// MaxHistory is the number of accepted changes that a manifest lists, itself included.
const MaxHistory = 64

// MaxPartBytes is the size that a part must stay below.
const MaxPartBytes = 1 << 20

// PartKey returns the store key of the part with the digest.
func PartKey(sha256 string) string { return "config/parts/" + sha256 }

// Names of parts. Overlays, blocks and keys have several parts each.
const (
	BasePartName   = "base.yaml"
	overlaysPrefix = "overlays/"
	overlaysSuffix = ".yaml"
	blocksPrefix   = "blocks/"
	keysPrefix     = "keys/"
)

// OverlayPartName returns the name of the part that holds the overlay of a site.
func OverlayPartName(site id.Site) string { return overlaysPrefix + string(site) + overlaysSuffix }

// IsKeyPart reports whether a part of this name holds keys.
func IsKeyPart(name string) bool { return strings.HasPrefix(name, keysPrefix) }

// PartRef names a part of the configuration and its content.
type PartRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	Size   int    `json:"size"`
}

// NewPartRef describes a part with the content.
func NewPartRef(name string, content []byte) PartRef {
	sum := sha256.Sum256(content)
	return PartRef{Name: name, SHA256: hex.EncodeToString(sum[:]), Size: len(content)}
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Generation  id.Generation `json:"generation"`
	OperationID id.Operation  `json:"operation_id"`
	Author      string        `json:"author"`
}

// Manifest lists the parts of one generation of the configuration. Parts are in order of name, the history is in
// order of generation and ends with the manifest's own.
type Manifest struct {
	Generation  id.Generation  `json:"generation"`
	OperationID id.Operation   `json:"operation_id"`
	Author      string         `json:"author"`
	Time        time.Time      `json:"time"`
	Comment     string         `json:"comment"`
	Parts       []PartRef      `json:"parts"`
	History     []HistoryEntry `json:"history"`
}

// Change describes who changes the configuration and why.
type Change struct {
	OperationID id.Operation
	Author      string
	Time        time.Time
	Comment     string
}

// Next returns the manifest that follows mf with the parts. A nil mf stands for an empty configuration.
func (mf *Manifest) Next(ch Change, parts []PartRef) *Manifest {
	next := &Manifest{
		Generation: 1, OperationID: ch.OperationID, Author: ch.Author, Time: ch.Time.UTC(), Comment: ch.Comment,
		Parts: slices.SortedFunc(slices.Values(parts), func(pa, pb PartRef) int { return strings.Compare(pa.Name, pb.Name) }),
	}
	if mf != nil {
		next.Generation = mf.Generation + 1
		next.History = slices.Clone(mf.History)
	}
	next.History = append(next.History, HistoryEntry{next.Generation, ch.OperationID, ch.Author})
	if over := len(next.History) - MaxHistory; over > 0 {
		next.History = next.History[over:]
	}
	return next
}

// FindOperation returns the history entry of an operation.
func (mf *Manifest) FindOperation(op id.Operation) (HistoryEntry, bool) {
	if nr := slices.IndexFunc(mf.History, func(he HistoryEntry) bool { return he.OperationID == op }); nr >= 0 {
		return mf.History[nr], true
	}
	return HistoryEntry{}, false
}

// HistoryCovers reports whether the history lists every change after the generation.
func (mf *Manifest) HistoryCovers(after id.Generation) bool {
	return len(mf.History) > 0 && mf.History[0].Generation <= after+1
}

// Part returns the part with the name.
func (mf *Manifest) Part(name string) (PartRef, bool) {
	if nr := slices.IndexFunc(mf.Parts, func(pr PartRef) bool { return pr.Name == name }); nr >= 0 {
		return mf.Parts[nr], true
	}
	return PartRef{}, false
}

// Encode returns the stored form.
func (mf *Manifest) Encode() []byte {
	// The types of Manifest cannot fail to marshal, except for a time outside the years 0 to 9999.
	src, err := json.Marshal(mf)
	if err != nil {
		panic(err)
	}
	return append(src, '\n')
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ParseManifest reads the stored form and checks that it is consistent in itself.
func ParseManifest(src []byte) (*Manifest, error) {
	mf := new(Manifest)
	dec := json.NewDecoder(bytes.NewReader(src))
	if err := dec.Decode(mf); err != nil {
		return nil, &Error{File: ManifestKey, Message: fmt.Sprintf("not valid JSON: %v", err)}
	}
	if dec.More() {
		return nil, &Error{File: ManifestKey, Message: "data follows the JSON document"}
	}
	if err := mf.check(); err != nil {
		return nil, &Error{File: ManifestKey, Message: err.Error()}
	}
	return mf, nil
}

func (mf *Manifest) check() error {
	// A time outside these years has no JSON form.
	if year := mf.Time.Year(); year < 0 || year > 9999 {
		return fmt.Errorf("the year %d is out of range", year)
	}
	if mf.Generation == 0 || mf.OperationID == "" {
		return fmt.Errorf("generation and operation_id must be set")
	}
	for nr, pr := range mf.Parts {
		switch {
		case nr > 0 && mf.Parts[nr-1].Name >= pr.Name:
			return fmt.Errorf("part %q is out of order or repeated", pr.Name)
		case !validPartName(pr.Name):
			return fmt.Errorf("part %q has no known kind", pr.Name)
		case !digestPattern.MatchString(pr.SHA256):
			return fmt.Errorf("part %q: sha256 is not 64 hexadecimal digits", pr.Name)
		case pr.Size < 0 || pr.Size >= MaxPartBytes:
			return fmt.Errorf("part %q has the size %d, it must be below %d", pr.Name, pr.Size, MaxPartBytes)
		}
	}
	return mf.checkHistory()
}

func (mf *Manifest) checkHistory() error {
	if len(mf.History) == 0 || len(mf.History) > MaxHistory {
		return fmt.Errorf("history has %d entries, expected 1 to %d", len(mf.History), MaxHistory)
	}
	if last := mf.History[len(mf.History)-1]; last.Generation != mf.Generation || last.OperationID != mf.OperationID {
		return fmt.Errorf("history does not end with generation %d", mf.Generation)
	}
	if mf.History[0].Generation == 0 {
		return fmt.Errorf("history begins with generation 0")
	}
	for nr := 1; nr < len(mf.History); nr++ {
		if mf.History[nr].Generation != mf.History[nr-1].Generation+1 {
			return fmt.Errorf("history has a gap after generation %d", mf.History[nr-1].Generation)
		}
	}
	return nil
}

func validPartName(name string) bool {
	if name == BasePartName {
		return true
	}
	if site, ok := strings.CutPrefix(name, overlaysPrefix); ok {
		site, ok = strings.CutSuffix(site, overlaysSuffix)
		return ok && id.ValidName(site)
	}
	if shard, ok := strings.CutPrefix(name, blocksPrefix); ok {
		return shardPattern.MatchString(shard)
	}
	if shard, ok := strings.CutPrefix(name, keysPrefix); ok {
		return shardPattern.MatchString(shard)
	}
	return false
}

var shardPattern = regexp.MustCompile(`^[0-9a-f]{1,4}$`)
