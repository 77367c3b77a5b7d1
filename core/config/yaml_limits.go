package config

import "github.com/goccy/go-yaml/token"

// Limits on the size and the nesting of a YAML file. The time to parse a file grows with the square of the nesting depth
// and of the length of a mapping, so a damaged file of 200 kB could keep the parser busy for minutes. A configuration has
// four levels of nesting, and an overlay with 8,000 targets has 80,000 tokens.
const (
	maxTokens = 100_000
	maxDepth  = 16  // nested flow collections, or block collections that begin on the same line
	maxIndent = 100 // column of the first token of a line, outside of flow collections
)

// nestingChecker refuses files that are nested too deeply or are too long for the parser.
type nestingChecker struct {
	*reader
	flowDepth   int // number of open flow collections
	line        int // line of the current token
	lineOpeners int // tokens so far on the line that can start a block collection, or are a tag, an anchor or an alias
}

// check adds an error for the first token that exceeds a limit. It returns false if there is one.
func (sh *nestingChecker) check(tokens token.Tokens) bool {
	if len(tokens) > maxTokens {
		sh.addf(position{file: sh.file}, "the file has %d YAML tokens, at most %d are allowed", len(tokens), maxTokens)
		return false
	}
	for _, tk := range tokens {
		if tk.Position == nil {
			continue
		}
		if tk.Position.Line != sh.line {
			sh.line, sh.lineOpeners = tk.Position.Line, 0
			if sh.flowDepth == 0 && tk.Position.Column > maxIndent {
				sh.addf(sh.tokenPosition(tk.Position.Line, tk.Position.Column), "the line is indented by more than %d columns", maxIndent)
				return false
			}
		}
		sh.count(tk)
		if max(sh.flowDepth, sh.lineOpeners) > maxDepth {
			sh.addf(sh.tokenPosition(tk.Position.Line, tk.Position.Column), "lists and mappings are nested more than %d levels deep", maxDepth)
			return false
		}
	}
	return true
}

// count updates the nesting depth for the token.
func (sh *nestingChecker) count(tk *token.Token) {
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		sh.flowDepth++
	case token.SequenceEndType, token.MappingEndType:
		sh.flowDepth = max(0, sh.flowDepth-1)
	case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType:
		if sh.flowDepth == 0 {
			sh.lineOpeners++
		}
	case token.TagType, token.AnchorType, token.AliasType:
		sh.lineOpeners++
	}
}
