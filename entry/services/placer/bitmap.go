package placer

import (
	"slices"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

const (
	// bitmapBytes is the size of a bitmap together with the position byte of its target.
	bitmapBytes = 1 + allocator.Buckets/8
	// bitmapsPerPart keeps a part near 1,000 bytes.
	bitmapsPerPart = 2
	// minBitmapBuckets is the number of buckets above which a bitmap is smaller than one group per
	// bucket.
	minBitmapBuckets = bitmapBytes / groupHeaderBytes
)

// makeBitmapParts encodes former targets that apply to many buckets as bitmaps. It returns the
// parts with the bitmaps, and the remaining items in their order. All buckets of a service that has
// just started are contested; with one group per bucket, an entry that joined then took 45 s to
// receive its transfer within the digest budget.
func (m *Machine) makeBitmapParts(header messenger.Digest, items []digestItem) ([]messenger.Digest, []digestItem) {
	counts := make(map[uint32]int)
	for _, item := range items {
		if item.isFormerTarget {
			counts[item.target]++
		}
	}
	var targets []uint32
	for target, count := range counts {
		if count > minBitmapBuckets {
			targets = append(targets, target)
		}
	}
	if len(targets) == 0 {
		return nil, items
	}
	slices.Sort(targets)
	var parts []messenger.Digest
	for chunk := range slices.Chunk(targets, bitmapsPerPart) {
		part := header
		part.Part = uint16(len(parts))
		for position, target := range chunk {
			part.Targets = append(part.Targets, m.backends[target].hash)
			part.Bitmaps = append(part.Bitmaps, byte(position))
			part.Bitmaps = appendBitmap(part.Bitmaps, items, target)
		}
		parts = append(parts, part)
	}
	rest := slices.DeleteFunc(slices.Clone(items), func(item digestItem) bool {
		return item.isFormerTarget && slices.Contains(targets, item.target)
	})
	return parts, rest
}

func appendBitmap(dst []byte, items []digestItem, target uint32) []byte {
	var bitmap [allocator.Buckets / 8]byte
	for _, item := range items {
		if item.isFormerTarget && item.target == target {
			bucket := allocator.Bucket(item.key)
			bitmap[bucket/8] |= 1 << (bucket % 8)
		}
	}
	return append(dst, bitmap[:]...)
}

// eachBitmapItem calls f for each former target in the bitmaps of a part. It stops at the first
// malformed bitmap.
func (m *Machine) eachBitmapItem(part messenger.Digest, f func(digestItem)) {
	for bitmaps := part.Bitmaps; len(bitmaps) >= bitmapBytes; bitmaps = bitmaps[bitmapBytes:] {
		if int(bitmaps[0]) >= len(part.Targets) {
			return
		}
		target, ok := m.internHash(part.Targets[bitmaps[0]])
		if !ok {
			return
		}
		for i, bits := range bitmaps[1:bitmapBytes] {
			for bit := range 8 {
				if bits&(1<<bit) != 0 {
					f(digestItem{key: uint64(8*i + bit), target: target, isFormerTarget: true})
				}
			}
		}
	}
}
