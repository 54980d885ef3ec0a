package mesh

import "testing"

// Controllers of other versions use these names: a changed one would cut them off.
func TestWireNamesAreStable(t *testing.T) {
	if streamPath != "/mesh" || nodeHeader != "Dewlift-Node" {
		t.Errorf("%s %s", streamPath, nodeHeader)
	}
}
