package mesh

import "testing"

// Controllers of other versions use these names, so a change would break their connections.
func TestWireNamesAreStable(t *testing.T) {
	if streamPath != "/mesh" || nodeHeader != "Dewlift-Node" {
		t.Errorf("%s %s", streamPath, nodeHeader)
	}
}
