package storer

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	fileName = "control.db"
	// formatVersion is incremented when older programs can no longer read the file.
	formatVersion = 1
	// lockTimeout is how long Open waits for another process to close the file.
	lockTimeout = time.Second
	// chunkSize is the largest value that stores a part of a snapshot, in bytes. A larger
	// value needs more contiguous free pages, which makes the file grow.
	chunkSize = 16 << 10
	// logFillPercent is how full, from 0 to 1, bbolt leaves the pages of the log when it splits
	// them. It is high because indexes only increase.
	logFillPercent = 0.9
)

var (
	bucketState    = []byte("state")
	bucketLog      = []byte("log")
	bucketSnapshot = []byte("snapshot")

	keyFormat   = []byte("format")
	keyIdentity = []byte("identity")
	keyVote     = []byte("vote")
	keyRange    = []byte("range")
	keyHeader   = []byte("header")
)

// Settings configure a Store.
type Settings struct {
	// Folder is the data folder; it is created if it does not exist.
	Folder string
	// MaxSize limits the data file, in bytes. 0 means no limit.
	MaxSize int64
}

// Store is an open data file. It is not safe for concurrent use.
type Store struct {
	path   string
	db     *bbolt.DB
	file   *os.File
	stored logRange
	failed error
}

// logRange is the first and last stored index; Last is 0 for an empty log.
type logRange struct {
	_     struct{} `cbor:",toarray"`
	First uint64
	Last  uint64
}

// Open opens or creates the data file in the folder and reads all of it. Errors
// are ErrLocked, ErrDamaged, ErrDiskFull, and those of the file system.
func Open(settings Settings) (store *Store, state *State, err error) {
	if err := os.MkdirAll(settings.Folder, 0o700); err != nil {
		return nil, nil, fmt.Errorf("create the data folder: %w", err)
	}
	s := &Store{path: filepath.Join(settings.Folder, fileName)}
	// bbolt panics on pages that it cannot read, and reading a truncated file
	// through its memory map raises a memory fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = ErrDamaged{Path: s.path, Reason: fmt.Sprint(r)}
		}
		if err != nil {
			s.abort()
			store, state = nil, nil
		}
	}()
	// The freelist is stored in the file. Otherwise bbolt rebuilds it in its own
	// goroutine, where a panic on a damaged page cannot be recovered.
	s.db, err = bbolt.Open(s.path, 0o600, &bbolt.Options{
		Timeout: lockTimeout, MaxSize: int(settings.MaxSize), FreelistType: bbolt.FreelistMapType,
		OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
			var err error
			s.file, err = os.OpenFile(name, flag, mode)
			return s.file, err
		},
	})
	if err != nil {
		return nil, nil, s.classifyError(err)
	}
	if err := syncFolder(settings.Folder); err != nil {
		return nil, nil, fmt.Errorf("sync the data folder: %w", err)
	}
	if state, err = s.load(); err != nil {
		return nil, nil, err
	}
	return s, state, nil
}

// abort closes the file after Open failed.
func (s *Store) abort() {
	if s.db != nil {
		_ = s.db.Close()
	} else if s.file != nil {
		_ = s.file.Close()
	}
}

func (s *Store) classifyError(err error) error {
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return ErrLocked{Path: s.path}
	case errors.Is(err, bbolterrors.ErrMaxSizeReached), errors.Is(err, syscall.ENOSPC),
		errors.Is(err, syscall.EDQUOT), errors.Is(err, syscall.EFBIG):
		return ErrDiskFull{Path: s.path, Cause: err}
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum),
		errors.Is(err, bbolterrors.ErrVersionMismatch), errors.Is(err, bbolterrors.ErrInvalidMapping):
		return ErrDamaged{Path: s.path, Reason: err.Error()}
	default:
		return fmt.Errorf("access data file %s: %w", s.path, err)
	}
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}

// create initialises an empty file with its buckets and a random identity.
func (s *Store) create() (Identity, error) {
	var id Identity
	_, _ = rand.Read(id[:]) // never fails, by its documentation
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketState, bucketLog, bucketSnapshot} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		state := tx.Bucket(bucketState)
		if err := putRecord(state, keyFormat, uint64(formatVersion)); err != nil {
			return err
		}
		return putRecord(state, keyIdentity, id)
	})
	if err != nil {
		return Identity{}, s.classifyError(err)
	}
	return id, nil
}

// Save stores a batch atomically and returns once it is synced to disk. After an
// error, which may be ErrDiskFull, the store refuses all writes: each later call
// returns ErrStoreFailed.
func (s *Store) Save(batch *Batch) (err error) {
	if s.failed != nil {
		return ErrStoreFailed{Cause: s.failed}
	}
	if batch.IsEmpty() {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = ErrDamaged{Path: s.path, Reason: fmt.Sprint(r)}
		}
		s.failed = err
	}()
	stored := s.stored
	if err := s.db.Update(func(tx *bbolt.Tx) error { return saveBatch(tx, batch, &stored) }); err != nil {
		return s.classifyError(err)
	}
	s.stored = stored
	return nil
}

func saveBatch(tx *bbolt.Tx, batch *Batch, stored *logRange) error {
	if batch.Vote != nil {
		if err := putRecord(tx.Bucket(bucketState), keyVote, *batch.Vote); err != nil {
			return err
		}
	}
	if batch.Snapshot != nil {
		if err := saveSnapshot(tx, batch.Snapshot); err != nil {
			return err
		}
	}
	if !batch.Reset && batch.CompactBefore == 0 && len(batch.Entries) == 0 {
		return nil
	}
	if err := saveLog(tx.Bucket(bucketLog), batch, stored); err != nil {
		return err
	}
	return putRecord(tx.Bucket(bucketState), keyRange, *stored)
}

func saveLog(log *bbolt.Bucket, batch *Batch, stored *logRange) error {
	log.FillPercent = logFillPercent
	if batch.Reset {
		if err := deleteRange(log, stored.First, stored.Last); err != nil {
			return err
		}
		*stored = logRange{}
	}
	for _, e := range batch.Entries {
		switch {
		case stored.Last == 0:
			stored.First = e.Index
		case e.Index <= stored.Last:
			if err := deleteRange(log, e.Index, stored.Last); err != nil {
				return err
			}
		case e.Index != stored.Last+1:
			return fmt.Errorf("entry %d does not follow entry %d", e.Index, stored.Last)
		}
		if err := putRecord(log, indexKey(e.Index), e); err != nil {
			return err
		}
		stored.Last = e.Index
	}
	if before := min(batch.CompactBefore, stored.Last); before > stored.First {
		if err := deleteRange(log, stored.First, before-1); err != nil {
			return err
		}
		stored.First = before
	}
	return nil
}

// deleteRange deletes the entries from first to last inclusive.
func deleteRange(log *bbolt.Bucket, first, last uint64) error {
	if last == 0 {
		return nil
	}
	for i := first; i <= last; i++ {
		if err := log.Delete(indexKey(i)); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Size returns the size of the data file in bytes.
func (s *Store) Size() (int64, error) {
	info, err := s.file.Stat()
	if err != nil {
		return 0, fmt.Errorf("read the size of %s: %w", s.path, err)
	}
	return info.Size(), nil
}

// Close closes the data file and releases its lock.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("close %s: %w", s.path, err)
	}
	return nil
}
