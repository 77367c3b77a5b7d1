package configdir

import (
	"cmp"
	"errors"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"damasklatch/core/config"
)

// Names of the files in the directory of a configuration.
const (
	BaseFile    = "base.yaml"
	OverlaysDir = "overlays"
	BlocksFile  = "blocks.txt"
)

// Read reads the files of the directory without parsing them. It reads the base file only if withBase is set. The returned
// error is of type config.Errors and lists every file that cannot be read.
func Read(dir string, withBase bool) (*config.Sources, error) {
	src, errs := read(os.DirFS(dir), dir, withBase)
	if len(errs) > 0 {
		return nil, errs
	}
	return src, nil
}

func read(fsys fs.FS, dir string, withBase bool) (*config.Sources, config.Errors) {
	rd := &reader{fsys: fsys, dir: dir}
	src := &config.Sources{Blocks: []config.File{rd.file(BlocksFile)}}
	if withBase {
		src.Base = rd.file(BaseFile)
	}
	entries, err := fs.ReadDir(fsys, OverlaysDir)
	if err != nil {
		rd.addError(OverlaysDir, err)
	}
	for _, en := range entries {
		// Editors leave hidden files and files with other suffixes in the directory.
		if en.IsDir() || strings.HasPrefix(en.Name(), ".") {
			continue
		}
		if path.Ext(en.Name()) == ".yml" {
			rd.errs = append(rd.errs, &config.Error{File: rd.displayName(path.Join(OverlaysDir, en.Name())), Message: "the name of an overlay file must end with .yaml"})
		}
		if path.Ext(en.Name()) != ".yaml" {
			continue
		}
		src.Overlays = append(src.Overlays, rd.file(path.Join(OverlaysDir, en.Name())))
	}
	slices.SortFunc(rd.errs, func(ea, eb *config.Error) int { return cmp.Compare(ea.File, eb.File) })
	return src, rd.errs
}

// reader reads files of a directory and collects the errors.
type reader struct {
	fsys fs.FS
	dir  string
	errs config.Errors
}

func (rd *reader) file(name string) config.File {
	content, err := fs.ReadFile(rd.fsys, name)
	if err != nil {
		rd.addError(name, err)
	}
	return config.File{Name: rd.displayName(name), Content: content}
}

// displayName returns the file name that error messages show.
func (rd *reader) displayName(name string) string {
	return filepath.Join(rd.dir, filepath.FromSlash(name))
}

func (rd *reader) addError(name string, err error) {
	message := "cannot be read: " + err.Error()
	if errors.Is(err, fs.ErrNotExist) {
		message = "the file is missing"
	}
	rd.errs = append(rd.errs, &config.Error{File: rd.displayName(name), Message: message})
}

// Load reads the files of the directory and builds the configuration, with generation zero. It also returns the files. The
// returned error is of type config.Errors.
func Load(dir string) (*config.Effective, *config.Sources, error) {
	src, err := Read(dir, true)
	if err != nil {
		return nil, nil, err
	}
	ef, err := src.Merge()
	if err != nil {
		return nil, nil, err
	}
	return ef, src, nil
}
