package config

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// Build builds the configuration that the manifest describes. The keys of parts are SHA-256 digests in hexadecimal, the
// values are the contents. Build verifies each content against its digest. The returned error is of type Errors; its
// file names are names of parts.
func Build(mf *Manifest, parts map[string][]byte) (*Effective, error) {
	return new(Builder).Build(mf, parts)
}

// Builder builds successive configurations. Configurations with the same client blocks share one list of blocks, because
// the blocks take by far the most memory. The zero value is ready to use. A Builder is not safe for concurrent use.
type Builder struct {
	refs   []PartRef     // parts that hold the client blocks of the last configuration
	blocks []ClientBlock // client blocks of the last configuration
}

// Build does the same as the function Build, but reuses the client blocks of the previous call if they are unchanged.
func (bd *Builder) Build(mf *Manifest, parts map[string][]byte) (*Effective, error) {
	cl := new(errorCollector)
	src := Sources{}
	refs := blockPartRefs(mf)
	if bd.blocks != nil && slices.Equal(refs, bd.refs) {
		src.validatedBlocks = bd.blocks
	}
	for _, pr := range mf.Parts {
		if src.validatedBlocks != nil && strings.HasPrefix(pr.Name, blocksPrefix) {
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

// blockPartRefs returns the parts of the manifest that hold client blocks.
func blockPartRefs(mf *Manifest) []PartRef {
	return slices.DeleteFunc(slices.Clone(mf.Parts), func(pr PartRef) bool { return !strings.HasPrefix(pr.Name, blocksPrefix) })
}

// File is the content of a file, with the name that error messages show.
type File struct {
	Name    string
	Content []byte
}

// Sources holds the source files of a configuration.
type Sources struct {
	Base     File
	Overlays []File
	Blocks   []File
	Keys     []File

	validatedBlocks []ClientBlock // if not nil, used instead of Blocks
}

// add adds the content of the part with the name to the field that holds parts of its kind.
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

// parsedSources holds the parsed files of Sources and the errors found in them.
type parsedSources struct {
	*errorCollector
	incomplete bool // a declaration could not be parsed
	base       *Base
	overlays   []*Overlay
	blocks     []ClientBlock
	keys       []Key
	keyAt      []position
}

// Merge parses the files and builds the configuration, with generation zero. It reports all errors of all files as a
// value of type Errors. If a file is missing or a declaration cannot be parsed, Merge does not validate references,
// because it would report correct references to the unparsed declaration.
func (sr *Sources) Merge() (*Effective, error) {
	pd := sr.parse()
	if pd.incomplete {
		return nil, pd.err()
	}
	mg := newMerger(0, pd.base)
	mg.errs = append(mg.errs, pd.errs...)
	mg.addOverlays(pd.overlays)
	mg.checkOverlayNames(pd.overlays)
	mg.addBlocks(pd.blocks, sr.validatedBlocks != nil, sr.blockPositions())
	mg.addKeys(pd.keys, func(nr int) position { return pd.keyAt[nr] })
	return mg.finish()
}

// parse parses all files and collects their errors.
func (sr *Sources) parse() *parsedSources {
	pd := &parsedSources{errorCollector: new(errorCollector)}
	if sr.Base.Name == "" {
		pd.incomplete = true
		pd.addf(position{file: BasePartName}, "the file is missing")
	} else {
		rd := newReader(sr.Base.Name)
		pd.base = rd.readBase(sr.Base.Content)
		pd.addErrorsOf(rd)
	}
	for _, fl := range sr.Overlays {
		rd := newReader(fl.Name)
		pd.overlays = append(pd.overlays, rd.readOverlay(fl.Content))
		pd.addErrorsOf(rd)
	}
	pd.addBlocks(sr)
	for _, fl := range sr.Keys {
		keys, positions, err := parseKeys(fl.Name, fl.Content)
		pd.addErrors(err)
		pd.keys, pd.keyAt = append(pd.keys, keys...), append(pd.keyAt, positions...)
	}
	return pd
}

// addBlocks parses the client blocks, or takes the blocks that are already validated.
func (pd *parsedSources) addBlocks(sr *Sources) {
	if sr.validatedBlocks != nil {
		pd.blocks = sr.validatedBlocks
		return
	}
	lines := 0
	for _, fl := range sr.Blocks {
		lines += bytes.Count(fl.Content, []byte("\n")) + 1
	}
	pd.blocks = make([]ClientBlock, 0, lines)
	for _, fl := range sr.Blocks {
		rd := newReader(fl.Name)
		pd.blocks = rd.readBlocks(pd.blocks, fl.Content)
		pd.addErrorsOf(rd)
	}
}

// blockPositions returns a function that returns the position of the block with the index nr. The function parses the
// files a second time when it is first called, that is for the first error, so that a merge without errors needs no
// memory for positions.
func (sr *Sources) blockPositions() func(int) position {
	var positions []position
	return func(nr int) position {
		if positions == nil {
			for _, fl := range sr.Blocks {
				forEachLine(fl.Name, fl.Content, func(at position, _ []string) { positions = append(positions, at) })
			}
		}
		if nr >= len(positions) { // the block comes from validatedBlocks, so its file is not known
			return position{file: blocksPrefix}
		}
		return positions[nr]
	}
}

// addErrorsOf adds the errors of a reader.
func (pd *parsedSources) addErrorsOf(rd *reader) {
	pd.errs = append(pd.errs, rd.errs...)
	pd.incomplete = pd.incomplete || rd.incomplete
}

// Parts divides base, overlays and blocks into parts and returns their contents by name of the part. It fails with an
// error of type Errors if a file is not valid or a part is too large. Keys are not included, because separate operations
// change them.
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
	cl := new(errorCollector)
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

// NewPartRefs returns the references of parts, sorted by name. The keys of parts are names, the values are contents.
func NewPartRefs(parts map[string][]byte) []PartRef {
	refs := make([]PartRef, 0, len(parts))
	for name, content := range parts {
		refs = append(refs, NewPartRef(name, content))
	}
	slices.SortFunc(refs, func(pa, pb PartRef) int { return cmp.Compare(pa.Name, pb.Name) })
	return refs
}
