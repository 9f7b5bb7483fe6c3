package storer

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// checksumSize is the size of the checksum that precedes each value, in bytes. bbolt
// itself verifies only its two meta pages.
const checksumSize = 8

// snapshotHeader is the first record of a snapshot; the chunks of its data follow.
type snapshotHeader struct {
	_        struct{} `cbor:",toarray"`
	Snapshot Snapshot
	Size     uint64
}

func addChecksum(key, data []byte) []byte {
	value := binary.BigEndian.AppendUint64(make([]byte, 0, checksumSize+len(data)), checksum(key, data))
	return append(value, data...)
}

func checksum(key, data []byte) uint64 {
	return hasher.Pair(hasher.Bytes(key), hasher.Bytes(data))
}

// verifyChecksum returns the data of a value that addChecksum built. The data is valid only
// during the transaction.
func verifyChecksum(key, value []byte) ([]byte, error) {
	if len(value) < checksumSize {
		return nil, fmt.Errorf("record %q is missing or too short", key)
	}
	data := value[checksumSize:]
	if binary.BigEndian.Uint64(value) != checksum(key, data) {
		return nil, fmt.Errorf("record %q has a wrong checksum", key)
	}
	return data, nil
}

func putRecord(b *bbolt.Bucket, key []byte, record any) error {
	data, err := cbor.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode %T: %w", record, err)
	}
	return b.Put(key, addChecksum(key, data))
}

func getRecord(b *bbolt.Bucket, key []byte, record any) error {
	data, err := verifyChecksum(key, b.Get(key))
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, record); err != nil {
		return fmt.Errorf("decode record %q: %w", key, err)
	}
	return nil
}

func saveSnapshot(tx *bbolt.Tx, snapshot *Snapshot) error {
	if err := tx.DeleteBucket(bucketSnapshot); err != nil {
		return err
	}
	b, err := tx.CreateBucket(bucketSnapshot)
	if err != nil {
		return err
	}
	header := snapshotHeader{Snapshot: *snapshot, Size: uint64(len(snapshot.Data))}
	header.Snapshot.Data = nil
	if err := putRecord(b, keyHeader, header); err != nil {
		return err
	}
	for offset := 0; offset < len(snapshot.Data); offset += chunkSize {
		key := indexKey(uint64(offset))
		if err := b.Put(key, addChecksum(key, snapshot.Data[offset:min(offset+chunkSize, len(snapshot.Data))])); err != nil {
			return err
		}
	}
	return nil
}

func loadSnapshot(b *bbolt.Bucket) (*Snapshot, error) {
	if b.Get(keyHeader) == nil {
		if key, _ := b.Cursor().First(); key != nil {
			return nil, fmt.Errorf("the snapshot has no header")
		}
		return nil, nil
	}
	var header snapshotHeader
	if err := getRecord(b, keyHeader, &header); err != nil {
		return nil, err
	}
	snapshot := header.Snapshot
	snapshot.Data = make([]byte, 0, header.Size)
	for uint64(len(snapshot.Data)) < header.Size {
		key := indexKey(uint64(len(snapshot.Data)))
		data, err := verifyChecksum(key, b.Get(key))
		if err != nil {
			return nil, fmt.Errorf("read the snapshot: %w", err)
		}
		snapshot.Data = append(snapshot.Data, data...)
	}
	return &snapshot, nil
}

// load reads the whole file. For an empty file it generates and stores an identity.
func (s *Store) load() (*State, error) {
	state := &State{}
	isEmpty := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		if size, err := s.Size(); err != nil {
			return err
		} else if size < tx.Size() {
			return fmt.Errorf("the file has %d bytes instead of %d", size, tx.Size())
		}
		if key, _ := tx.Cursor().First(); key == nil {
			isEmpty = true
			return nil
		}
		return s.read(tx, state)
	})
	if err != nil {
		return nil, ErrDamaged{Path: s.path, Reason: err.Error()}
	}
	if isEmpty {
		state.IsNew = true
		state.Identity, err = s.create()
	}
	return state, err
}

func (s *Store) read(tx *bbolt.Tx, state *State) error {
	stateBucket, log, snapshot := tx.Bucket(bucketState), tx.Bucket(bucketLog), tx.Bucket(bucketSnapshot)
	if stateBucket == nil || log == nil || snapshot == nil {
		return fmt.Errorf("a bucket is missing")
	}
	var format uint64
	if err := getRecord(stateBucket, keyFormat, &format); err != nil {
		return err
	}
	if format != formatVersion {
		return fmt.Errorf("format %d is unknown to this program", format)
	}
	if err := getRecord(stateBucket, keyIdentity, &state.Identity); err != nil {
		return err
	}
	if stateBucket.Get(keyVote) != nil {
		if err := getRecord(stateBucket, keyVote, &state.Vote); err != nil {
			return err
		}
	}
	if stateBucket.Get(keyRange) != nil {
		if err := getRecord(stateBucket, keyRange, &s.stored); err != nil {
			return err
		}
	}
	var err error
	if state.Snapshot, err = loadSnapshot(snapshot); err != nil {
		return err
	}
	return s.readLog(log, state)
}

func (s *Store) readLog(log *bbolt.Bucket, state *State) error {
	if s.stored.Last == 0 {
		if key, _ := log.Cursor().First(); key != nil {
			return fmt.Errorf("the log has entries, but its stored range is empty")
		}
		return nil
	}
	state.Entries = make([]Entry, 0, s.stored.Last-s.stored.First+1)
	for i := s.stored.First; i <= s.stored.Last; i++ {
		var e Entry
		if err := getRecord(log, indexKey(i), &e); err != nil {
			return fmt.Errorf("read entry %d: %w", i, err)
		}
		state.Entries = append(state.Entries, e)
	}
	if state.Snapshot == nil && s.stored.First > 1 || state.Snapshot != nil && s.stored.First > state.Snapshot.Index+1 {
		return fmt.Errorf("the log begins at entry %d, which leaves a gap after the snapshot", s.stored.First)
	}
	return nil
}
