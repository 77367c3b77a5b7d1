package configdir

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// Write replaces the file of the edit atomically: a reader sees either the old content or the new one. It fails if the
// file has changed since it was read.
func (ed *Edit) Write() (err error) {
	// If the name is a symbolic link, the link stays and its target is replaced.
	name, err := filepath.EvalSymlinks(ed.File)
	if err != nil {
		return err
	}
	info, err := os.Stat(name)
	if err != nil {
		return err
	}
	// Read ignores hidden files, so a temporary file that is left after a crash has no effect.
	tmp, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = tmp.Close() // it may already be closed
			_ = os.Remove(tmp.Name())
		}
	}()
	if _, err = tmp.Write(ed.After); err != nil {
		return err
	}
	if err = tmp.Chmod(info.Mode().Perm()); err != nil {
		return err
	}
	if err = tmp.Sync(); err != nil {
		return err
	}
	if err = tmp.Close(); err != nil {
		return err
	}
	now, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if !bytes.Equal(now, ed.Before) {
		return fmt.Errorf("%s was changed by another program, nothing is written; run the command again", ed.File)
	}
	return os.Rename(tmp.Name(), name)
}
