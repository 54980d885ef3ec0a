package core

import (
	"encoding/json"
	"testing"
	"time"

	"dewlift/wire"
)

// 1,500 starts in one request were refused again and again.
func TestCommandsAreSplitBySize(t *testing.T) {
	const tasks = 1500
	w := newAgentCluster(t)
	w.core.schema.active = SchemaVersion // with an older one, fewer tasks are assigned at a time
	submission := testSubmission("wk-000001")
	submission.Spec.Tasks, submission.Spec.Request = tasks, [3]int64{1, 0, 1}
	w.core.Handle(w.now, submission)
	w.run(5 * time.Second)
	for _, batch := range w.agent.executed {
		raw, err := json.Marshal(batch)
		if err != nil || len(raw) > wire.MaxBodyBytes {
			t.Errorf("a request of %d commands has %d bytes (%v)", len(batch.Commands), len(raw), err)
		}
	}
	if len(w.agent.tasks) != tasks || len(w.agent.executed) < 2 {
		t.Errorf("%d of %d tasks are started by %d requests", len(w.agent.tasks), tasks, len(w.agent.executed))
	}
	if w.core.Stats.TaskStarts != tasks {
		t.Errorf("%d starts are counted", w.core.Stats.TaskStarts)
	}
}
