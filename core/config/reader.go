package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes is the maximum size of a file, checked before it is parsed. The file becomes a part of the configuration,
// which must fit in one object of the platform store.
const maxFileBytes = 1 << 20

// reader parses the YAML of one file and collects its errors.
type reader struct {
	*errorCollector
	file string
	// incomplete is set if an error hides a declaration, because then references to it cannot be validated.
	incomplete bool
}

func newReader(file string) *reader { return &reader{errorCollector: new(errorCollector), file: file} }

// readDocument parses a file that must consist of one YAML mapping. It returns nil after an error.
func (rd *reader) readDocument(src []byte) (fs *fields) {
	defer func() { rd.incomplete = rd.incomplete || fs == nil }()
	top := position{file: rd.file}
	if len(src) > maxFileBytes {
		rd.addf(top, "the file has %d bytes, at most %d are allowed", len(src), maxFileBytes)
		return nil
	}
	file, err := rd.parseYAML(src)
	if file == nil && err == nil {
		return nil
	}
	if err != nil {
		var se *yaml.SyntaxError
		if errors.As(err, &se) && se.GetToken() != nil {
			rd.addf(rd.tokenPosition(se.GetToken().Position.Line, se.GetToken().Position.Column), "%s", se.GetMessage())
			return nil
		}
		rd.addf(top, "not valid YAML: %v", err)
		return nil
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		rd.addf(top, "the file is empty")
		return nil
	case 1:
		return rd.mapping(bodies[0])
	default:
		rd.addf(rd.pos(bodies[1]), "a second document begins here; the file must have one")
		return nil
	}
}

// parseYAML parses the content of a file. It turns a panic of the parser into an error, because untrusted input may
// trigger one. It returns nil without an error if the file exceeds a limit of nestingChecker, which has recorded the
// error in the reader.
func (rd *reader) parseYAML(src []byte) (file *ast.File, err error) {
	defer func() {
		if rv := recover(); rv != nil {
			file, err = nil, fmt.Errorf("the YAML parser panicked: %v", rv)
		}
	}()
	tokens := lexer.Tokenize(string(src))
	if sh := (&nestingChecker{reader: rd}); !sh.check(tokens) {
		return nil, nil
	}
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

// tokenPosition returns a position in the file. Line and column are at least 1, because a line of zero means the whole
// file.
func (rd *reader) tokenPosition(line, column int) position {
	return position{file: rd.file, line: max(line, 1), column: max(column, 1)}
}

// pos returns the position of the first character of the node.
func (rd *reader) pos(node ast.Node) position {
	if mn, ok := node.(*ast.MappingNode); ok && !mn.IsFlowStyle && len(mn.Values) > 0 {
		node = mn.Values[0].Key
	}
	if tk := node.GetToken(); tk != nil && tk.Position != nil {
		return rd.tokenPosition(tk.Position.Line, tk.Position.Column)
	}
	return position{file: rd.file}
}

// mapping returns the fields of a node that must be a mapping. It returns nil after an error.
func (rd *reader) mapping(node ast.Node) *fields {
	var values []*ast.MappingValueNode
	switch nd := node.(type) {
	case *ast.MappingNode:
		values = nd.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{nd}
	default:
		rd.incomplete = true
		rd.addf(rd.pos(node), "expected a mapping, found %s", describeNode(node))
		return nil
	}
	fs := &fields{reader: rd, pos: rd.pos(node), values: make(map[string]*ast.MappingValueNode)}
	for _, mv := range values {
		key, ok := mv.Key.(*ast.StringNode)
		if !ok {
			rd.addf(rd.pos(mv.Key), "expected a field name, found %s", describeNode(mv.Key))
			continue
		}
		if prev, ok := fs.values[key.Value]; ok {
			rd.addf(rd.pos(key), "field %q is repeated; it is first set on line %d", key.Value, rd.pos(prev.Key).line)
			continue
		}
		fs.values[key.Value] = mv
		fs.names = append(fs.names, key.Value)
	}
	return fs
}

// forEachElement calls each for every element of a node that must be a sequence. A null node counts as an empty one.
func (rd *reader) forEachElement(node ast.Node, each func(ast.Node)) {
	switch nd := node.(type) {
	case *ast.SequenceNode:
		for _, el := range nd.Values {
			each(el)
		}
	case *ast.NullNode:
	default:
		rd.incomplete = true
		rd.addf(rd.pos(node), "expected a list, found %s", describeNode(node))
	}
}

// scalar returns the text of a node that must be a scalar. It returns false after an error.
func (rd *reader) scalar(node ast.Node) (string, bool) {
	switch nd := node.(type) {
	case *ast.StringNode:
		return nd.Value, true
	case *ast.LiteralNode:
		return nd.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return node.GetToken().Value, true
	case *ast.NullNode:
		rd.addf(rd.pos(node), "the value is missing")
	default:
		rd.addf(rd.pos(node), "expected a value, found %s", describeNode(node))
	}
	return "", false
}

// describeNode returns a description of the node for error messages.
func describeNode(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "nothing"
	case *ast.AnchorNode, *ast.AliasNode:
		return "an anchor or alias, which is not supported"
	case *ast.TagNode:
		return "a tag, which is not supported"
	case *ast.MergeKeyNode:
		return "a merge key, which is not supported"
	case *ast.StringNode, *ast.LiteralNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return fmt.Sprintf("%q", node.GetToken().Value)
	default:
		return "a " + strings.ToLower(node.Type().String())
	}
}

// fields gives access to the fields of a mapping. Each accessor records the name of its field in requested.
// reportUnknownFields reports the other fields as errors.
type fields struct {
	*reader
	pos       position // start of the mapping
	values    map[string]*ast.MappingValueNode
	names     []string // names of the fields in the order of the file
	requested []string
}

// get returns the value of a field, or nil if the field is missing.
func (fs *fields) get(name string) ast.Node {
	fs.requested = append(fs.requested, name)
	if mv, ok := fs.values[name]; ok {
		return mv.Value
	}
	return nil
}

// text returns the text of a field and its position. It returns false if the field is missing or not a scalar. A missing
// field is an error if it is required.
func (fs *fields) text(name string, required bool) (string, position, bool) {
	node := fs.get(name)
	if node == nil {
		if required {
			fs.addf(fs.pos, "field %q is missing", name)
		}
		return "", fs.pos, false
	}
	text, ok := fs.scalar(node)
	return text, fs.reader.pos(node), ok
}

// reportUnknownFields adds an error for each field that no accessor has requested.
func (fs *fields) reportUnknownFields() {
	known := slices.Clone(fs.requested)
	slices.Sort(known)
	known = slices.Compact(known)
	for _, name := range fs.names {
		if !slices.Contains(known, name) {
			fs.addf(fs.reader.pos(fs.values[name].Key), "unknown field %q; known fields: %s", name, strings.Join(known, ", "))
		}
	}
}

// boolean reads an optional field that holds true or false. A missing field is false.
func (fs *fields) boolean(name string) bool {
	text, at, ok := fs.text(name, false)
	if !ok {
		return false
	}
	if text != "true" && text != "false" {
		fs.addf(at, "field %q: %q is neither true nor false", name, text)
	}
	return text == "true"
}

// quantity parses a field with parse and checks its bounds. It returns the fallback if the field is missing or not valid.
func quantity[T ~int64](fs *fields, name string, bd bounds[T], parse func(string) (T, error)) T {
	text, at, ok := fs.text(name, bd.required)
	if !ok {
		return bd.fallback
	}
	val, err := parse(text)
	if err != nil {
		fs.addf(at, "field %q: %v", name, err)
		return bd.fallback
	}
	switch {
	case val < 0 && bd.minimum >= 0:
		fs.addf(at, "field %q: %q is below zero", name, text)
	case val < bd.minimum:
		fs.addf(at, "field %q: %q is below the minimum %s", name, text, bd.format(bd.minimum))
	case val > bd.maximum:
		fs.addf(at, "field %q: %q is above the maximum %s", name, text, bd.format(bd.maximum))
	default:
		return val
	}
	return bd.fallback
}

// bounds describes the values that a quantity may take. fallback is the value of a missing field; format formats the
// bounds for error messages.
type bounds[T ~int64] struct {
	required         bool
	minimum, maximum T
	fallback         T
	format           func(T) string
}

func (fs *fields) duration(name string, minimum, maximum, fallback time.Duration) time.Duration {
	return quantity(fs, name, bounds[time.Duration]{minimum: minimum, maximum: maximum, fallback: fallback, format: formatDuration}, parseDuration)
}

// Maximum values of limits. They ensure that no sum of limits in a configuration overflows an int64.
const (
	maxRate  = unit.MilliPerSecond(1e9 * unit.One)
	maxBurst = 1e9 * unit.One
	maxBits  = unit.BitsPerSecond(1e15)
	maxBytes = int64(1) << 40
	maxCount = int64(1e6)
)

func (fs *fields) rate(name string, required bool) unit.MilliPerSecond {
	return quantity(fs, name, bounds[unit.MilliPerSecond]{required: required, maximum: maxRate, format: formatRate}, parseRate)
}

func (fs *fields) burst(name string) unit.Milli {
	return quantity(fs, name, bounds[unit.Milli]{required: true, maximum: maxBurst,
		format: func(val unit.Milli) string { return formatMilli(int64(val)) }}, parseMilli)
}

func (fs *fields) bits(name string) unit.BitsPerSecond {
	return quantity(fs, name, bounds[unit.BitsPerSecond]{required: true, minimum: 1, maximum: maxBits, format: formatBits}, parseBits)
}

func (fs *fields) bytes(name string, fallback int64) int64 {
	return quantity(fs, name, bounds[int64]{maximum: maxBytes, fallback: fallback, format: formatBytes}, parseBytes)
}

func (fs *fields) count(name string, required bool, minimum, fallback int64) int {
	return int(quantity(fs, name, bounds[int64]{required: required, minimum: minimum, maximum: maxCount, fallback: fallback,
		format: func(val int64) string { return fmt.Sprint(val) }}, parseCount))
}

// nameField reads a required field that holds a valid name. It returns an invalid name unchanged, so that references to
// it do not cause further errors.
func nameField[T ~string](fs *fields, field string) (T, position) {
	text, at, ok := fs.text(field, true)
	if !ok {
		fs.incomplete = true
		return "", at
	}
	fs.checkName(at, text)
	return T(text), at
}

// readNames reads an optional field that holds a list of distinct names.
func readNames[T ~string](fs *fields, field string) []located[T] {
	node := fs.get(field)
	if node == nil {
		return nil
	}
	var lst []located[T]
	fs.forEachElement(node, func(el ast.Node) {
		text, ok := fs.scalar(el)
		if !ok {
			return
		}
		at := fs.reader.pos(el)
		fs.checkName(at, text)
		if slices.ContainsFunc(lst, func(lc located[T]) bool { return lc.value == T(text) }) {
			fs.addf(at, "%q is listed twice", text)
			return
		}
		lst = append(lst, located[T]{T(text), at})
	})
	return lst
}

func (rd *reader) checkName(at position, name string) {
	if !id.ValidName(name) {
		rd.addf(at, "%q is not a valid name: a lower-case letter, then at most 62 lower-case letters, digits, hyphens and underscores", name)
	}
}

// located is a value and the position of its declaration.
type located[T any] struct {
	value T
	at    position
}

// readMappings reads an optional field that holds a list of mappings. It calls read for each mapping and returns the
// results.
func readMappings[T any](fs *fields, field string, read func(*fields) T) []located[T] {
	node := fs.get(field)
	if node == nil {
		return nil
	}
	var lst []located[T]
	fs.forEachElement(node, func(el ast.Node) {
		fe := fs.mapping(el)
		if fe == nil {
			return
		}
		val := read(fe)
		fe.reportUnknownFields()
		lst = append(lst, located[T]{val, fe.pos})
	})
	return lst
}
