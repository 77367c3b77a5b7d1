package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"damasklatch/core/config"
)

// format is an output format.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
)

// OutputOptions holds the arguments of the commands that print results.
type OutputOptions struct {
	Output string `arg:"--output" default:"table" placeholder:"FORMAT" help:"table or json"`
}

func (oo *OutputOptions) format() (format, error) {
	switch ft := format(oo.Output); ft {
	case formatTable, formatJSON:
		return ft, nil
	default:
		return "", fmt.Errorf("--output: %q is neither table nor json", oo.Output)
	}
}

// print writes the value as JSON if that is the output format. Otherwise it calls table, which prints a table.
func (oo *OutputOptions) print(ev *Env, value any, table func()) {
	if format(oo.Output) == formatJSON {
		writeJSON(ev.Stdout, value)
		return
	}
	table()
}

func writeJSON(wr io.Writer, value any) {
	enc := json.NewEncoder(wr)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	_ = enc.Encode(value) // fails only if the reader of the output is gone
}

// writeTable prints a table with aligned columns. Empty cells are shown as "-".
func writeTable(wr io.Writer, header []string, rows [][]string) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		cells := make([]string, len(row))
		for nr, cell := range row {
			if cells[nr] = cell; cell == "" {
				cells[nr] = "-"
			}
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

// colors maps kinds of differences to terminal escape sequences.
var colors = map[config.DifferenceKind]string{config.Added: "\x1b[32m", config.Removed: "\x1b[31m", config.Changed: "\x1b[33m"}

const colorOff = "\x1b[0m"

func writeDifferences(ev *Env, dfs []config.Difference) {
	if len(dfs) == 0 {
		fmt.Fprintln(ev.Stdout, "no differences")
	}
	for _, df := range dfs {
		if ev.Color {
			fmt.Fprintln(ev.Stdout, colors[df.Kind]+df.String()+colorOff)
			continue
		}
		fmt.Fprintln(ev.Stdout, df)
	}
}
