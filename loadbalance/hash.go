package loadbalance

import "hash/fnv"

// hashPair returns a hash of two strings: FNV-1a followed by the MurmurHash3 finalizer,
// which spreads strings that differ only in their last bytes.
func hashPair(a, b string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashToUnit hashes two strings to a number in (0,1].
func hashToUnit(a, b string) float64 {
	const significandBits = 53
	return (float64(hashPair(a, b)>>(64-significandBits)) + 1) / (1 << significandBits)
}
