package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSilentEngineKeepsItsConnections guards against giving up on an engine that falls silent for
// a second or somewhat more while its connections wait for answers, and against waiting longer
// than three seconds for one that is gone.
func TestSilentEngineKeepsItsConnections(t *testing.T) {
	shortest, longest := engineDial.ToleratedSilence()
	qt.Check(t, shortest >= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", shortest))
	qt.Check(t, engineDial.Unacked >= 1500*time.Millisecond, qt.IsTrue)
	qt.Check(t, longest <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
}
