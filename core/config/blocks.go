package config

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"

	"damasklatch/core/id"
)

// maxBlocksBytes is the maximum size of a file of client blocks. It is larger than MaxPartBytes, because the file is
// divided into parts only after it is parsed. The design size of 210,000 blocks takes about 7 MB.
const maxBlocksBytes = 64 << 20

// ParseBlocks parses client blocks. Each line has the form "prefix site", for example "10.1.0.0/16 north-a". Empty
// lines and text after "#" are ignored. Errors name the file as file. The returned error is of type Errors.
func ParseBlocks(file string, src []byte) ([]ClientBlock, error) {
	rd := newReader(file)
	blocks := rd.readBlocks(make([]ClientBlock, 0, bytes.Count(src, []byte("\n"))+1), src)
	if err := rd.err(); err != nil {
		return nil, err
	}
	return blocks, nil
}

// readBlocks parses the client blocks in src and appends them to list.
func (rd *reader) readBlocks(list []ClientBlock, src []byte) []ClientBlock {
	if len(src) > maxBlocksBytes {
		rd.incomplete = true
		rd.addf(position{file: rd.file}, "the file has %d bytes, at most %d are allowed", len(src), maxBlocksBytes)
		return list
	}
	// All blocks of a site share one copy of its name, and each name is validated once.
	sites := make(map[string]id.Site)
	forEachLine(rd.file, src, func(at position, words []string) {
		if len(words) != 2 {
			rd.incomplete = true
			rd.addf(at, "expected \"prefix site\", found %d words", len(words))
			return
		}
		prefix, err := parsePrefix(words[0])
		if err != nil {
			rd.incomplete = true
			rd.addf(at, "%v", err)
		}
		site, ok := sites[words[1]]
		if !ok {
			site = id.Site(strings.Clone(words[1]))
			sites[string(site)] = site
		}
		if !ok && !id.ValidName(site) {
			rd.addf(at, "%q is not a valid name of a site", site)
		}
		list = append(list, ClientBlock{Prefix: prefix, Site: site})
	})
	return list
}

// forEachLine calls fn for each line with its position and its words. It strips comments and skips empty lines.
func forEachLine(file string, src []byte, fn func(at position, words []string)) {
	nr := 0
	for line := range bytes.Lines(src) {
		nr++
		text, _, _ := strings.Cut(string(line), "#")
		if words := strings.Fields(text); len(words) > 0 {
			fn(position{file: file, line: nr, column: strings.Index(text, words[0]) + 1}, words)
		}
	}
}

func parsePrefix(text string) (netip.Prefix, error) {
	prefix, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		return prefix, fmt.Errorf("%q is not an address prefix, such as 10.1.0.0/16", text)
	case prefix.Addr().Is4In6():
		return prefix, fmt.Errorf("prefix %q is an IPv4 prefix in IPv6 form; write it as IPv4", text)
	case prefix != prefix.Masked():
		return prefix, fmt.Errorf("prefix %q has bits set beyond its length; write %s", text, prefix.Masked())
	default:
		return prefix, nil
	}
}

// EncodeBlocks returns the blocks in the format that ParseBlocks accepts, sorted by prefix.
func EncodeBlocks(blocks []ClientBlock) []byte {
	sorted := slices.SortedFunc(slices.Values(blocks), func(ba, bb ClientBlock) int { return ba.Prefix.Compare(bb.Prefix) })
	var buf []byte
	for _, cb := range sorted {
		buf = append(cb.Prefix.AppendTo(buf), ' ')
		buf = append(append(buf, cb.Site...), '\n')
	}
	return buf
}

// blockShards is the number of parts into which client blocks are divided. At the design size of 210,000 blocks, a
// part has about 110 kB. The number must not change, because a different number would change the content of every part.
const blockShards = 64

// shardBlocks divides the blocks into parts, keyed by the name of the part. It uses a hash of the prefix, so that the
// parts have about the same size for any distribution of prefixes.
func shardBlocks(blocks []ClientBlock) map[string][]ClientBlock {
	shards := make(map[string][]ClientBlock)
	var byShard [blockShards][]ClientBlock
	var buf []byte
	for _, cb := range blocks {
		buf = cb.Prefix.AppendTo(buf[:0])
		hs := fnv.New32a()
		hs.Write(buf)
		nr := hs.Sum32() % blockShards
		byShard[nr] = append(byShard[nr], cb)
	}
	for nr, list := range byShard {
		if len(list) > 0 {
			shards[fmt.Sprintf("%s%02d", blocksPrefix, nr)] = list
		}
	}
	return shards
}
