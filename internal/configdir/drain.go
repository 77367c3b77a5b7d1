package configdir

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"damasklatch/core/config"
	"damasklatch/core/id"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// ElementKind is a kind of element that can be drained.
type ElementKind string

// Kinds of elements.
const (
	KindTarget        ElementKind = "target"
	KindFailureDomain ElementKind = "failure domain"
	KindSite          ElementKind = "site"
	KindRegion        ElementKind = "region"
)

// Element identifies an element of the configuration that can be drained, that is, has the field "drained".
type Element struct {
	Kind ElementKind
	Name string
}

// String returns the kind and the quoted name.
func (el Element) String() string { return fmt.Sprintf("%s %q", el.Kind, el.Name) }

// Edit is a change of one file. Before and After are the contents of the whole file.
type Edit struct {
	File          string
	Before, After []byte
	Line          int // number of the first changed line, counted from 1
	// Removed and Added are the changed lines, without line endings.
	Removed, Added []string
	// EnclosingDrained lists the drained elements that contain the edited one. They keep it drained after its own field is
	// removed.
	EnclosingDrained []Element
}

// HasChanges reports whether the edit changes anything.
func (ed *Edit) HasChanges() bool { return !bytes.Equal(ed.Before, ed.After) }

// UnknownElementError reports an element that the configuration does not contain. Known lists the names of the existing
// elements of its kind.
type UnknownElementError struct {
	Element Element
	Known   []string
}

func (er *UnknownElementError) Error() string {
	known := strings.Join(er.Known, ", ")
	if known == "" {
		known = "none"
	}
	return fmt.Sprintf("there is no %s; known: %s", er.Element, known)
}

// SetDrained returns the edit that sets the field "drained" of an element to true if drained is set, and otherwise removes
// it. Nothing else in the file changes. The sources must be valid; they are not modified. SetDrained validates the edited
// file together with the others. It returns an *UnknownElementError if there is no such element.
func SetDrained(src *config.Sources, el Element, drained bool) (*Edit, error) {
	files := []config.File{src.Base}
	if el.Kind == KindTarget || el.Kind == KindSite {
		files = src.Overlays
	}
	var known []string
	for nr, file := range files {
		mappings, err := parseElements(file.Content, el.Kind)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file.Name, err)
		}
		at := slices.IndexFunc(mappings, func(mp *mapping) bool { return mp.name() == el.Name })
		if at < 0 {
			for _, mp := range mappings {
				known = append(known, mp.name())
			}
			continue
		}
		after, err := mappings[at].setDrained(file.Content, drained)
		if err == nil {
			err = verifyEdit(file.Content, after, el, at, drained)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %s cannot be edited, edit the file by hand: %w", file.Name, el, err)
		}
		ed := &Edit{File: file.Name, Before: file.Content, After: after}
		ed.diffLines()
		ef, err := mergeEdited(src, el.Kind, nr, after)
		if err != nil {
			return nil, err
		}
		if !drained {
			ed.EnclosingDrained = drainedEnclosing(ef, el)
		}
		return ed, nil
	}
	slices.Sort(known)
	return nil, &UnknownElementError{el, known}
}

// mergeEdited builds and validates the configuration with the edited file. nr is the index of the overlay for targets and
// sites.
func mergeEdited(src *config.Sources, kind ElementKind, nr int, after []byte) (*config.Effective, error) {
	changed := *src
	if kind == KindTarget || kind == KindSite {
		changed.Overlays = slices.Clone(src.Overlays)
		changed.Overlays[nr].Content = after
	} else {
		changed.Base.Content = after
	}
	return changed.Merge()
}

// drainedEnclosing returns the drained elements that contain the element.
func drainedEnclosing(ef *config.Effective, el Element) []Element {
	var els []Element
	domain := id.FailureDomain(el.Name)
	for _, st := range ef.Sites {
		at := slices.IndexFunc(st.Targets, func(tg config.Target) bool { return string(tg.Name) == el.Name })
		switch {
		case el.Kind == KindTarget && at >= 0:
			domain = st.FailureDomain
			// The targets of a drained site are drained too.
			if st.Targets[at].Drained {
				els = append(els, Element{KindSite, string(st.Name)})
			}
		case el.Kind == KindSite && string(st.Name) == el.Name:
			domain = st.FailureDomain
		}
	}
	fd, ok := ef.FailureDomain(domain)
	if !ok || el.Kind == KindRegion {
		return els
	}
	if fd.Drained && el.Kind != KindFailureDomain {
		els = append(els, Element{KindFailureDomain, string(fd.Name)})
	}
	if rg, ok := ef.Region(fd.Region); ok && rg.Drained {
		els = append(els, Element{KindRegion, string(rg.Name)})
	}
	return els
}

// diffLines sets Line, Removed and Added from the contents.
func (ed *Edit) diffLines() {
	before, after := strings.SplitAfter(string(ed.Before), "\n"), strings.SplitAfter(string(ed.After), "\n")
	same := 0
	for same < min(len(before), len(after)) && before[same] == after[same] {
		same++
	}
	before, after = before[same:], after[same:]
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	ed.Line = same + 1
	for _, line := range before {
		ed.Removed = append(ed.Removed, strings.TrimRight(line, "\r\n"))
	}
	for _, line := range after {
		ed.Added = append(ed.Added, strings.TrimRight(line, "\r\n"))
	}
}

// listFields gives the field of the file that lists the elements of a kind. A site has none, because it is a whole file.
var listFields = map[ElementKind]string{
	KindTarget: "targets", KindFailureDomain: "failure_domains", KindRegion: "regions",
}

// mapping is the YAML mapping of an element. nameKey is the field that holds the name of the element.
type mapping struct {
	values  []*ast.MappingValueNode
	flow    bool
	nameKey string
}

// parseElements returns the mappings of all elements of a kind in a valid file.
func parseElements(src []byte, kind ElementKind) ([]*mapping, error) {
	file, err := parser.ParseBytes(src, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, err
	}
	var root *mapping
	for _, doc := range file.Docs {
		if mp := newMapping(doc.Body, "site"); mp != nil {
			root = mp
		}
	}
	if root == nil {
		return nil, fmt.Errorf("the file is not a mapping")
	}
	if kind == KindSite {
		return []*mapping{root}, nil
	}
	mv := root.field(listFields[kind])
	if mv == nil {
		return nil, nil
	}
	list, ok := mv.Value.(*ast.SequenceNode)
	if !ok {
		return nil, nil
	}
	var mappings []*mapping
	for _, node := range list.Values {
		if mp := newMapping(node, "name"); mp != nil {
			mappings = append(mappings, mp)
		}
	}
	return mappings, nil
}

// newMapping returns the mapping at a node, or nil if the node is not a mapping.
func newMapping(node ast.Node, nameKey string) *mapping {
	switch nd := node.(type) {
	case *ast.MappingNode:
		return &mapping{nd.Values, nd.IsFlowStyle, nameKey}
	case *ast.MappingValueNode:
		return &mapping{[]*ast.MappingValueNode{nd}, nd.IsFlowStyle, nameKey}
	default:
		return nil
	}
}

// field returns the entry of a field, or nil if the field is missing.
func (mp *mapping) field(name string) *ast.MappingValueNode {
	for _, mv := range mp.values {
		if key, ok := mv.Key.(*ast.StringNode); ok && key.Value == name {
			return mv
		}
	}
	return nil
}

// name returns the name of the element, or the empty string if it is missing.
func (mp *mapping) name() string {
	if mv := mp.field(mp.nameKey); mv != nil {
		return mv.Value.GetToken().Value
	}
	return ""
}

// setDrained returns the content of the file with the field "drained" set to true, or removed.
func (mp *mapping) setDrained(src []byte, drained bool) ([]byte, error) {
	mv := mp.field("drained")
	if mv == nil {
		if !drained {
			return src, nil
		}
		return mp.insertDrained(src)
	}
	value := mv.Value.GetToken().Value
	if (value == "true") == drained {
		return src, nil
	}
	start, end, err := scalarRange(src, mv.Value)
	if err != nil {
		return nil, err
	}
	if drained {
		return splice(src, start, end, "true"), nil
	}
	keyAt, err := byteOffset(src, mv.Key)
	if err != nil {
		return nil, err
	}
	if from, to, ok := mp.removalRange(src, keyAt, end); ok {
		return splice(src, from, to, ""), nil
	}
	// Removing the field would also remove a comment or the dash of a list item, so it is set to false instead.
	return splice(src, start, end, "false"), nil
}

// insertDrained returns the content of the file with "drained: true" added after the name of the element.
func (mp *mapping) insertDrained(src []byte) ([]byte, error) {
	mv := mp.field(mp.nameKey)
	if mv == nil {
		return nil, fmt.Errorf("field %q is missing", mp.nameKey)
	}
	_, end, err := scalarRange(src, mv.Value)
	if err != nil {
		return nil, err
	}
	if mp.flow {
		return splice(src, end, end, ", drained: true"), nil
	}
	indent := strings.Repeat(" ", mv.Key.GetToken().Position.Column-1)
	length := bytes.IndexByte(src[end:], '\n')
	if length < 0 {
		return splice(src, len(src), len(src), "\n"+indent+"drained: true"), nil
	}
	lineEnd := "\n"
	if src[end+length-1] == '\r' {
		lineEnd = "\r\n"
	}
	return splice(src, end+length+1, end+length+1, indent+"drained: true"+lineEnd), nil
}

// removalRange returns the range of bytes to remove in order to remove the field at keyAt to end. It returns false if the
// removal would make the file invalid or remove a comment.
func (mp *mapping) removalRange(src []byte, keyAt, end int) (from, to int, ok bool) {
	before := bytes.TrimRight(src[:keyAt], " \t")
	behind := end + len(src[end:]) - len(bytes.TrimLeft(src[end:], " \t"))
	rest := src[behind:]
	startsLine := len(before) == 0 || before[len(before)-1] == '\n'
	switch {
	case mp.flow && bytes.HasSuffix(before, []byte(",")):
		return len(before) - 1, end, true
	case mp.flow && bytes.HasSuffix(before, []byte("{")) && bytes.HasPrefix(rest, []byte(",")):
		return keyAt, behind + 1 + len(rest[1:]) - len(bytes.TrimLeft(rest[1:], " \t")), true
	case mp.flow || !startsLine:
		return 0, 0, false
	case bytes.HasPrefix(rest, []byte("#")):
		return keyAt, behind, true
	case bytes.HasPrefix(rest, []byte("\r\n")):
		return len(before), behind + 2, true
	case bytes.HasPrefix(rest, []byte("\n")):
		return len(before), behind + 1, true
	case len(rest) == 0 && len(before) > 0:
		return len(bytes.TrimSuffix(before[:len(before)-1], []byte("\r"))), len(src), true
	default:
		return 0, 0, false
	}
}

// splice returns src with the range [from, to) replaced by text.
func splice(src []byte, from, to int, text string) []byte {
	return slices.Concat(src[:from], []byte(text), src[to:])
}

// scalarRange returns the range of bytes of a scalar. It fails unless the scalar is on one line and contains no escapes.
func scalarRange(src []byte, node ast.Node) (start, end int, err error) {
	if start, err = byteOffset(src, node); err != nil {
		return 0, 0, err
	}
	value := node.GetToken().Value
	for _, quote := range []string{"", `"`, "'"} {
		if written := quote + value + quote; value != "" && bytes.HasPrefix(src[start:], []byte(written)) {
			return start, start + len(written), nil
		}
	}
	return 0, 0, fmt.Errorf("line %d: the value %q is not written as a plain word", node.GetToken().Position.Line, value)
}

// byteOffset returns the offset of a node in bytes. The parser counts columns in characters instead.
func byteOffset(src []byte, node ast.Node) (int, error) {
	ps := node.GetToken().Position
	at := 0
	for range ps.Line - 1 {
		length := bytes.IndexByte(src[at:], '\n')
		if length < 0 {
			return 0, fmt.Errorf("line %d is not in the file", ps.Line)
		}
		at += length + 1
	}
	for range ps.Column - 1 {
		_, size := utf8.DecodeRune(src[at:])
		at += size
	}
	return at, nil
}

// verifyEdit checks that the parsed files differ only in the field "drained" of the element, and that it has the new value.
func verifyEdit(before, after []byte, el Element, index int, drained bool) error {
	old, _, err := contentWithoutDrained(before, el, index)
	if err != nil {
		return err
	}
	changed, value, err := contentWithoutDrained(after, el, index)
	if err != nil {
		return err
	}
	if (value == "true") != drained || old != changed {
		return fmt.Errorf("the way the element is written in the file is not supported")
	}
	return nil
}

// contentWithoutDrained parses a file and returns its data without the field "drained" of one element, as text for
// comparison, and the value of that field.
func contentWithoutDrained(src []byte, el Element, index int) (content, value string, err error) {
	var root map[string]any
	if err := yaml.UnmarshalWithOptions(src, &root); err != nil {
		return "", "", err
	}
	owner := root
	if field, ok := listFields[el.Kind]; ok {
		list, _ := root[field].([]any)
		if index >= len(list) {
			return "", "", fmt.Errorf("the list %q has fewer elements after the edit", field)
		}
		owner, _ = list[index].(map[string]any)
	}
	value = fmt.Sprint(owner["drained"])
	delete(owner, "drained")
	return fmt.Sprintf("%#v", root), value, nil
}
