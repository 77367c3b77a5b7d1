package record

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// maxRecordsInMemory limits the records that a Log keeps in memory, so that a long run does not exhaust the memory
// of the machine. The file contains all records.
const maxRecordsInMemory = 200_000

// Log appends records to a file as JSON lines and keeps the first maxRecordsInMemory of them in memory. It is safe
// for concurrent use.
type Log[T any] struct {
	mu   sync.Mutex
	fl   *os.File
	kept []T
	err  error
}

// NewLog creates a log that writes to the file at path, which it creates or truncates. With an empty path, the log
// keeps records in memory only.
func NewLog[T any](path string) (*Log[T], error) {
	lg := &Log[T]{}
	if path == "" {
		return lg, nil
	}
	fl, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create record file")
	}
	lg.fl = fl
	return lg, nil
}

// Add appends a record. Close reports the first error of any Add.
func (lg *Log[T]) Add(rec T) {
	line, err := json.Marshal(rec)
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if len(lg.kept) < maxRecordsInMemory {
		lg.kept = append(lg.kept, rec)
	}
	if err == nil && lg.fl != nil {
		_, err = lg.fl.Write(append(line, '\n'))
	}
	if err != nil && lg.err == nil {
		lg.err = err
	}
}

// All returns a copy of the records that are kept in memory, which are the first ones of a long log.
func (lg *Log[T]) All() []T {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return append([]T(nil), lg.kept...)
}

// Close closes the file. It returns the first error of any Add, or else the error of closing the file.
func (lg *Log[T]) Close() error {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if lg.fl == nil {
		return lg.err
	}
	err := lg.fl.Close()
	lg.fl = nil
	if lg.err != nil {
		return errors.Wrap(lg.err, "write record file")
	}
	return errors.Wrap(err, "close record file")
}

// ReadFile reads all records of a file. It ignores a last line without a newline, which a writer leaves if it is
// killed during a write.
func ReadFile[T any](path string) ([]T, error) {
	fl, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open record file")
	}
	defer func() { _ = fl.Close() }()
	return Read[T](path, fl)
}

// Read reads all records. Errors start with the name and the line number. Like ReadFile, it ignores a last line
// without a newline.
func Read[T any](name string, rd io.Reader) ([]T, error) {
	br := bufio.NewReader(rd)
	var recs []T
	for nr := 1; ; nr++ {
		line, err := br.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return recs, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, nr)
		}
		var rec T
		if err := json.Unmarshal(line, &rec); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, nr)
		}
		recs = append(recs, rec)
	}
}
