package archive

// PlanMerge plans a transaction of at most ops changes: of the entries, sorted by id and in the block's
// range, the first n go into it, each of which takes a change to delete its record, and the
// pieces are written. n is 0 if the block must be split first. Without an error there is at least one piece.
func (b *Block) PlanMerge(entries []Entry, most, ops int) (pieces []EncodedBlock, n int, err error) {
	for n = min(len(entries), ops-1); n > 0; {
		pieces, err = b.Merge(entries[:n]).EncodeToFit(most)
		if err == nil && len(pieces)+n <= ops {
			return pieces, n, nil
		}
		if left := ops - len(pieces); err == nil && left < n {
			n = left
		} else {
			n--
		}
	}
	if pieces, err = b.EncodeToFit(most); err == nil && len(pieces) == 1 && len(b.Entries) > 1 {
		lower, upper := b.splitInHalf()
		var more []EncodedBlock
		if pieces, err = lower.EncodeToFit(most); err == nil {
			more, err = upper.EncodeToFit(most)
			pieces = append(pieces, more...)
		}
	}
	if err == nil && len(pieces) > ops {
		err = ErrTooManyBlocks
	}
	return pieces, 0, err
}
