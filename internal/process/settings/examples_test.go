package settings_test

import (
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/process/settings"
	"jayfold.dev/jayfold/internal/process/tablesedit"
)

// TestExamples guards against example files that a node or the command line rejects.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"sicily", "croatia"} {
		dir := "../../../examples/" + deployment + "/"
		t.Run(deployment, func(t *testing.T) {
			assert := is.New(t)
			_, err := settings.Load(dir + "settings.jsonc")
			assert.NoErr(err)
			tables, err := tablesedit.Load(tablesedit.Paths{Routes: dir + "routes.jsonc", Pools: dir + "pools.jsonc"})
			assert.NoErr(err)
			assert.Equal(tables.Pools.Len(), 4)
		})
	}
}
