package fleet

// Epoch numbers the histories of the platform's data. It rises by one each time the platform is restored from an older copy of its
// data, which loses the latest writes and gives their versions out again. 0 is an unknown epoch, that of a platform that doesn't
// tell.
type Epoch uint64

// FirstEpoch is the epoch of a platform that has never been restored.
const FirstEpoch Epoch = 1

// Differs reports whether two epochs are known and not the same, so that versions of one say nothing about the other.
func (e Epoch) Differs(other Epoch) bool { return e != 0 && other != 0 && e != other }

// Position is a version of the platform's data, from which a watch continues. Its zero value is the position before the first read.
type Position struct {
	Epoch   Epoch
	Version uint64
}
