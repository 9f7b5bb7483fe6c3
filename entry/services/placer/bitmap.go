package placer

import (
	"slices"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/tabler"
)

const (
	// mapBytes is the size of a bitmap with the position of its target.
	mapBytes = 1 + tabler.Buckets/8
	// mapsPerPart keeps a part near 1,000 bytes.
	mapsPerPart = 2
	// minMapped is the number of buckets from which a bitmap is smaller than a
	// group for each bucket.
	minMapped = mapBytes / groupHeader
)

// makeMaps packs the former targets of many buckets into parts with bitmaps. It
// returns these parts and the other lines in their order. When a service has just
// started, all buckets are contested, and a group for each took a starting entry
// 45 s to receive inside the budget.
func (m *Machine) makeMaps(head messenger.Digest, lines []digestLine) ([]messenger.Digest, []digestLine) {
	counts := make(map[uint32]int)
	for _, line := range lines {
		if line.isFormer {
			counts[line.target]++
		}
	}
	var targets []uint32
	for target, count := range counts {
		if count > minMapped {
			targets = append(targets, target)
		}
	}
	if len(targets) == 0 {
		return nil, lines
	}
	slices.Sort(targets)
	var parts []messenger.Digest
	for chunk := range slices.Chunk(targets, mapsPerPart) {
		part := head
		part.Part = uint16(len(parts))
		for position, target := range chunk {
			part.Targets = append(part.Targets, m.backends[target].hash)
			part.Maps = append(part.Maps, byte(position))
			part.Maps = appendBitmap(part.Maps, lines, target)
		}
		parts = append(parts, part)
	}
	rest := slices.DeleteFunc(slices.Clone(lines), func(line digestLine) bool {
		return line.isFormer && slices.Contains(targets, line.target)
	})
	return parts, rest
}

func appendBitmap(dst []byte, lines []digestLine, target uint32) []byte {
	var bitmap [tabler.Buckets / 8]byte
	for _, line := range lines {
		if line.isFormer && line.target == target {
			bucket := tabler.Bucket(line.key)
			bitmap[bucket/8] |= 1 << (bucket % 8)
		}
	}
	return append(dst, bitmap[:]...)
}

// eachMapped calls f for each former target in the bitmaps of a part. It stops at
// malformed ones.
func (m *Machine) eachMapped(part messenger.Digest, f func(digestLine)) {
	for maps := part.Maps; len(maps) >= mapBytes; maps = maps[mapBytes:] {
		if int(maps[0]) >= len(part.Targets) {
			return
		}
		target, ok := m.internHash(part.Targets[maps[0]])
		if !ok {
			return
		}
		for i, bits := range maps[1:mapBytes] {
			for bit := range 8 {
				if bits&(1<<bit) != 0 {
					f(digestLine{key: uint64(8*i + bit), target: target, isFormer: true})
				}
			}
		}
	}
}
