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

// ManifestKey is the key of the manifest in the platform store.
const ManifestKey = "config/manifest"

// MaxHistory is the maximum number of accepted changes in the history of a manifest. The newest entry is the change that
// created the manifest.
const MaxHistory = 64

// MaxPartBytes limits the size of a part, which must be less than MaxPartBytes.
const MaxPartBytes = 1 << 20

// PartKey returns the key in the platform store of the part with the SHA-256 digest.
func PartKey(sha256 string) string { return "config/parts/" + sha256 }

// Names of parts and their prefixes. Overlays, blocks and keys consist of several parts each.
const (
	BasePartName   = "base.yaml"
	overlaysPrefix = "overlays/"
	overlaysSuffix = ".yaml"
	blocksPrefix   = "blocks/"
	keysPrefix     = "keys/"
)

// OverlayPartName returns the name of the part that holds the overlay of a site.
func OverlayPartName(site id.Site) string { return overlaysPrefix + string(site) + overlaysSuffix }

// IsKeyPart reports whether the part with the name holds keys.
func IsKeyPart(name string) bool { return strings.HasPrefix(name, keysPrefix) }

// PartRef identifies a part of the configuration by its name, and its content by SHA-256 digest and size in bytes.
type PartRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	Size   int    `json:"size"`
}

// NewPartRef returns the reference of a part with the name and content.
func NewPartRef(name string, content []byte) PartRef {
	sum := sha256.Sum256(content)
	return PartRef{Name: name, SHA256: hex.EncodeToString(sum[:]), Size: len(content)}
}

// HistoryEntry describes one accepted change of the configuration.
type HistoryEntry struct {
	Generation  id.Generation `json:"generation"`
	OperationID id.Operation  `json:"operation_id"`
	Author      string        `json:"author"`
}

// Manifest lists the parts of one generation of the configuration and describes the change that created it. Parts are
// sorted by name. History is sorted by generation, and its last entry describes the generation of the manifest itself.
type Manifest struct {
	Generation  id.Generation  `json:"generation"`
	OperationID id.Operation   `json:"operation_id"`
	Author      string         `json:"author"`
	Time        time.Time      `json:"time"`
	Comment     string         `json:"comment"`
	Parts       []PartRef      `json:"parts"`
	History     []HistoryEntry `json:"history"`
}

// Change describes a change of the configuration: its operation, who makes it, when and why.
type Change struct {
	OperationID id.Operation
	Author      string
	Time        time.Time
	Comment     string
}

// Next returns the manifest of the generation after mf, with the given parts. If mf is nil, it returns generation 1.
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

// FindOperation returns the history entry of the operation, and whether the history contains it.
func (mf *Manifest) FindOperation(op id.Operation) (HistoryEntry, bool) {
	if nr := slices.IndexFunc(mf.History, func(he HistoryEntry) bool { return he.OperationID == op }); nr >= 0 {
		return mf.History[nr], true
	}
	return HistoryEntry{}, false
}

// HistoryCovers reports whether the history contains every change after the generation.
func (mf *Manifest) HistoryCovers(after id.Generation) bool {
	return len(mf.History) > 0 && mf.History[0].Generation <= after+1
}

// Part returns the reference of the part with the name, and whether the manifest lists it.
func (mf *Manifest) Part(name string) (PartRef, bool) {
	if nr := slices.IndexFunc(mf.Parts, func(pr PartRef) bool { return pr.Name == name }); nr >= 0 {
		return mf.Parts[nr], true
	}
	return PartRef{}, false
}

// Encode returns the manifest as JSON, the format in which it is stored. It panics if the year of Time is not between 0
// and 9999.
func (mf *Manifest) Encode() []byte {
	// Only a time outside the years 0 to 9999 makes json.Marshal fail for a Manifest.
	src, err := json.Marshal(mf)
	if err != nil {
		panic(err)
	}
	return append(src, '\n')
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ParseManifest parses a manifest in the format of Encode and validates it, without reading its parts. The returned error
// is of type *Error.
func ParseManifest(src []byte) (*Manifest, error) {
	mf := new(Manifest)
	dec := json.NewDecoder(bytes.NewReader(src))
	if err := dec.Decode(mf); err != nil {
		return nil, &Error{File: ManifestKey, Message: fmt.Sprintf("not valid JSON: %v", err)}
	}
	if dec.More() {
		return nil, &Error{File: ManifestKey, Message: "data follows the JSON document"}
	}
	if err := mf.validate(); err != nil {
		return nil, &Error{File: ManifestKey, Message: err.Error()}
	}
	return mf, nil
}

func (mf *Manifest) validate() error {
	// JSON can only represent times within these years.
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
	return mf.validateHistory()
}

// validateHistory checks that the history is within its limits, has no gap and ends with the manifest itself.
func (mf *Manifest) validateHistory() error {
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

// validPartName reports whether the name is one of a base, overlay, block or key part.
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

// shardPattern matches the last element in the name of a part that holds blocks or keys.
var shardPattern = regexp.MustCompile(`^[0-9a-f]{1,4}$`)
