package archive

// PlanMerge plans a transaction of at most maxWrites writes that merges the first n of the entries into the
// block. The entries must be sorted by ID and within the block's range, and each of them takes one write that
// deletes its record. The block is replaced by the returned blocks, of which there is at least one. n is 0 if
// the block must be split first.
func (b *Block) PlanMerge(entries []Entry, maxBytes, maxWrites int) (blocks []EncodedBlock, n int, err error) {
	for n = min(len(entries), maxWrites-1); n > 0; {
		blocks, err = b.Merge(entries[:n]).EncodeToFit(maxBytes)
		if err == nil && len(blocks)+n <= maxWrites {
			return blocks, n, nil
		}
		if remaining := maxWrites - len(blocks); err == nil && remaining < n {
			n = remaining
		} else {
			n--
		}
	}
	blocks, err = b.EncodeToFit(maxBytes)
	if err == nil && len(blocks) == 1 && len(b.Entries) > 1 {
		blocks, err = b.encodeHalves(maxBytes)
	}
	if err == nil && len(blocks) > maxWrites {
		err = ErrTooManyBlocks
	}
	return blocks, 0, err
}
