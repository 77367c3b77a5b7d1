package config

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// Build makes the configuration of a manifest from the contents of its parts, by SHA-256. It checks every content
// against its digest. The error is of type Errors; the files that it names are parts.
func Build(mf *Manifest, parts map[string][]byte) (*Effective, error) {
	return new(Builder).Build(mf, parts)
}

// Builder builds successive configurations. While no part with client blocks changes, they share one list of blocks,
// which is by far the largest part of a configuration. The zero value is ready; it is not safe for concurrent use.
type Builder struct {
	refs   []PartRef     // parts with blocks of the last configuration
	blocks []ClientBlock // their content
}

// Build makes the configuration of a manifest, as the function Build does.
func (bd *Builder) Build(mf *Manifest, parts map[string][]byte) (*Effective, error) {
	cl := new(collector)
	src := Sources{}
	refs := blockRefs(mf)
	if bd.blocks != nil && slices.Equal(refs, bd.refs) {
		src.known = bd.blocks
	}
	for _, pr := range mf.Parts {
		if src.known != nil && strings.HasPrefix(pr.Name, blocksPrefix) {
			continue
		}
		content, ok := parts[pr.SHA256]
		switch {
		case !ok:
			cl.addf(position{file: pr.Name}, "the content %s is missing", pr.SHA256)
		case NewPartRef(pr.Name, content) != pr:
			cl.addf(position{file: pr.Name}, "the content does not match its digest %s", pr.SHA256)
		default:
			src.add(pr.Name, content)
		}
	}
	if err := cl.err(); err != nil {
		return nil, err
	}
	ef, err := src.Merge()
	if err != nil {
		return nil, err
	}
	ef.Generation = mf.Generation
	bd.refs, bd.blocks = refs, ef.Blocks
	return ef, nil
}

func blockRefs(mf *Manifest) []PartRef {
	return slices.DeleteFunc(slices.Clone(mf.Parts), func(pr PartRef) bool { return !strings.HasPrefix(pr.Name, blocksPrefix) })
}

// File is the content of a file and the name that faults show.
type File struct {
	Name    string
	Content []byte
}

// Sources are the files of a configuration.
type Sources struct {
	Base     File
	Overlays []File
	Blocks   []File
	Keys     []File

	known []ClientBlock // validated blocks in place of Blocks; nil if there are none
}

func (sr *Sources) add(name string, content []byte) {
	fl := File{name, content}
	switch {
	case name == BasePartName:
		sr.Base = fl
	case strings.HasPrefix(name, overlaysPrefix):
		sr.Overlays = append(sr.Overlays, fl)
	case strings.HasPrefix(name, blocksPrefix):
		sr.Blocks = append(sr.Blocks, fl)
	case strings.HasPrefix(name, keysPrefix):
		sr.Keys = append(sr.Keys, fl)
	}
}

// parsed are the values of Sources and their places.
type parsed struct {
	*collector
	lost     bool // a declaration could not be read
	base     *Base
	overlays []*Overlay
	blocks   []ClientBlock
	keys     []Key
	keyAt    []position
}

// Merge parses the files and builds the configuration, with generation zero. All faults of all files are reported.
// References are not checked while a file is missing or a declaration cannot be read, since that would cause faults
// elsewhere.
func (sr *Sources) Merge() (*Effective, error) {
	pd := sr.parse()
	if pd.lost {
		return nil, pd.err()
	}
	mg := newMerger(0, pd.base)
	mg.errs = append(mg.errs, pd.errs...)
	mg.overlays(pd.overlays)
	mg.overlayNames(pd.overlays)
	mg.blocks(pd.blocks, sr.known != nil, sr.blockPlaces())
	mg.keys(pd.keys, func(nr int) position { return pd.keyAt[nr] })
	return mg.finish()
}

func (sr *Sources) parse() *parsed {
	pd := &parsed{collector: new(collector)}
	if sr.Base.Name == "" {
		pd.lost = true
		pd.addf(position{file: BasePartName}, "the file is missing")
	} else {
		rd := newReader(sr.Base.Name)
		pd.base = rd.base(sr.Base.Content)
		pd.take(rd)
	}
	for _, fl := range sr.Overlays {
		rd := newReader(fl.Name)
		pd.overlays = append(pd.overlays, rd.overlay(fl.Content))
		pd.take(rd)
	}
	pd.addBlocks(sr)
	for _, fl := range sr.Keys {
		keys, places, err := parseKeys(fl.Name, fl.Content)
		pd.merge(err)
		pd.keys, pd.keyAt = append(pd.keys, keys...), append(pd.keyAt, places...)
	}
	return pd
}

func (pd *parsed) addBlocks(sr *Sources) {
	if sr.known != nil {
		pd.blocks = sr.known
		return
	}
	lines := 0
	for _, fl := range sr.Blocks {
		lines += bytes.Count(fl.Content, []byte("\n")) + 1
	}
	pd.blocks = make([]ClientBlock, 0, lines)
	for _, fl := range sr.Blocks {
		rd := newReader(fl.Name)
		pd.blocks = rd.blocks(pd.blocks, fl.Content)
		pd.take(rd)
	}
}

// blockPlaces returns a function that finds the place of a block in the files. It reads the files again on the first
// fault, so that merging without faults needs no memory for places.
func (sr *Sources) blockPlaces() func(int) position {
	var places []position
	return func(nr int) position {
		if places == nil {
			for _, fl := range sr.Blocks {
				eachLine(fl.Name, fl.Content, func(at position, _ []string) { places = append(places, at) })
			}
		}
		if nr >= len(places) { // a block that was validated with an earlier configuration
			return position{file: blocksPrefix}
		}
		return places[nr]
	}
}

// take adds the faults of a reader.
func (pd *parsed) take(rd *reader) {
	pd.errs = append(pd.errs, rd.errs...)
	pd.lost = pd.lost || rd.lost
}

// Parts divides base, overlays and blocks into parts. The files must be valid. Keys are not included, since they
// are changed by operations of their own.
func (sr *Sources) Parts() (map[string][]byte, error) {
	pd := sr.parse()
	if err := pd.err(); err != nil {
		return nil, err
	}
	parts := map[string][]byte{BasePartName: sr.Base.Content}
	for nr, ov := range pd.overlays {
		parts[OverlayPartName(ov.site)] = sr.Overlays[nr].Content
	}
	for name, blocks := range shardBlocks(pd.blocks) {
		parts[name] = EncodeBlocks(blocks)
	}
	cl := new(collector)
	for name, content := range parts {
		if len(content) >= MaxPartBytes {
			cl.addf(position{file: name}, "the part has %d bytes, it must stay below %d", len(content), MaxPartBytes)
		}
	}
	if err := cl.err(); err != nil {
		return nil, err
	}
	return parts, nil
}

// NewPartRefs describes parts in order of name.
func NewPartRefs(parts map[string][]byte) []PartRef {
	refs := make([]PartRef, 0, len(parts))
	for name, content := range parts {
		refs = append(refs, NewPartRef(name, content))
	}
	slices.SortFunc(refs, func(pa, pb PartRef) int { return cmp.Compare(pa.Name, pb.Name) })
	return refs
}
