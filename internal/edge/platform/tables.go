package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/tablesfile"
)

const (
	// chunkSize is the size of a chunk in bytes, a quarter of the platform's limit for a value.
	chunkSize = 256 << 10
	// maxWriteTries bounds how often a write is sent while its outcome is unknown.
	maxWriteTries = 4
)

// RevisionConflict is the error for a change that is based on a revision which is no longer the newest.
type RevisionConflict struct {
	// Expected is the revision that the change is based on; Found is the newest one on the platform.
	Expected fleet.Revision
	Found    fleet.Revision
}

// Error implements error.
func (c RevisionConflict) Error() string {
	if c.Found < c.Expected {
		return fmt.Sprintf("revision %d, for which the change was made, is not on the platform, which has been restored from a copy with "+
			"revision %d", c.Expected, c.Found)
	}
	return fmt.Sprintf("another change was applied first: revision %d is on the platform, and the change was made "+
		"for revision %d", c.Found, c.Expected)
}

// CorruptTables is the error for tables on the platform that do not decode or are incomplete.
type CorruptTables struct {
	// Revision is that of the head; 0 if the head does not decode.
	Revision fleet.Revision
	Err      error
}

// Error implements error.
func (c CorruptTables) Error() string {
	return fmt.Sprintf("revision %d on the platform cannot be read: %v", c.Revision, c.Err)
}

// Unwrap returns the cause.
func (c CorruptTables) Unwrap() error { return c.Err }

var errRestored = errors.New("the platform was restored from an older copy during the change")

var errChunkMissing = errors.New("the chunk does not exist")

// ReadTables reads the newest revision; its number is 0 if there is none. The error is CorruptTables if the tables do not
// decode or are incomplete.
func (c *Client) ReadTables(ctx context.Context) (fleet.Tables, error) {
	head, _, err := c.readHead(ctx)
	if err != nil || head.Revision == 0 {
		return fleet.Tables{}, err
	}
	content, err := c.readContent(ctx, head)
	if errors.Is(err, errChunkMissing) {
		return fleet.Tables{}, CorruptTables{Revision: head.Revision, Err: err}
	}
	if err != nil {
		return fleet.Tables{}, err
	}
	tables, err := tablesfile.Decode(head.Revision, content)
	if err != nil {
		return fleet.Tables{}, CorruptTables{Revision: head.Revision, Err: err}
	}
	return tables, nil
}

// ApplyTables writes tables as the revision after expected and returns the new revision. The change id must be unique. If
// another change was applied first the error is RevisionConflict, and the head is unchanged. A head that does not decode is
// replaced. If the platform is restored from a copy during the change, which may then lack its chunks, the change is made again.
func (c *Client) ApplyTables(
	ctx context.Context, tables fleet.Tables, expected fleet.Revision, changeID string,
) (fleet.Revision, error) {
	var revision fleet.Revision
	err := errRestored
	for try := range maxWriteTries {
		if try > 0 {
			// The platform may lack what this client has read from it.
			c.chunks.clear()
		}
		revision, err = c.applyOnce(ctx, tables, expected, changeID)
		if !errors.Is(err, errRestored) {
			break
		}
	}
	return revision, err
}

func (c *Client) applyOnce(
	ctx context.Context, tables fleet.Tables, expected fleet.Revision, changeID string,
) (fleet.Revision, error) {
	head, read, err := c.readHead(ctx)
	var corrupt CorruptTables
	if errors.As(err, &corrupt) {
		head = wireHead{Revision: expected}
	} else if err != nil {
		return 0, err
	}
	if head.Revision != expected {
		return 0, RevisionConflict{Expected: expected, Found: head.Revision}
	}
	revision := head.nextRevision(read.Epoch)
	names, err := c.writeChunks(ctx, tablesfile.Encode(tables.WithRevision(revision)), head.Chunks)
	if err != nil {
		return 0, err
	}
	next, stale := c.findStaleChunks(ctx, head, head.next(revision, read.Epoch, names, changeID))
	revision, err = c.writeHead(ctx, next, read, expected)
	if err != nil {
		return 0, err
	}
	c.deleteChunks(ctx, stale)
	return revision, nil
}

// readHead returns the head and its object, whose version is 0 if there is none. The object is valid also when the error is
// CorruptTables.
func (c *Client) readHead(ctx context.Context) (wireHead, Object, error) {
	found, err := c.store.Get(ctx, HeadKey)
	if err != nil || found.Version == 0 {
		return wireHead{}, found, err
	}
	head, err := decodeHead(found.Value)
	if err != nil {
		return wireHead{}, found, CorruptTables{Err: err}
	}
	return head, found, nil
}

// writeHead replaces the head that was read, which has the expected revision. After a conflict or an unknown outcome it reads the head back and
// writes again only if the head is still the same. The condition on the version keeps a write from taking effect twice. The error is
// errRestored if the platform has been restored from a copy meanwhile.
func (c *Client) writeHead(
	ctx context.Context, head wireHead, read Object, expected fleet.Revision,
) (fleet.Revision, error) {
	// Every value of the wire types can be encoded.
	value, _ := json.Marshal(head)
	var err error
	for range maxWriteTries {
		_, err = c.store.Put(ctx, HeadKey, value, IfUnchanged(read))
		if err == nil {
			return head.Revision, nil
		}
		if !needsReadBack(err) {
			return 0, err
		}
		found, now, readErr := c.readHead(ctx)
		if readErr != nil {
			return 0, fmt.Errorf("it is not known whether change %s took effect: %w", head.ChangeID, errors.Join(err, readErr))
		}
		if revision, done := found.revisionOf(head.ChangeID); done {
			return revision, nil
		}
		if now.Epoch.Differs(read.Epoch) {
			return 0, errRestored
		}
		if now.Version != read.Version {
			return 0, RevisionConflict{Expected: expected, Found: found.Revision}
		}
	}
	return 0, fmt.Errorf("it is not known whether change %s took effect: %w", head.ChangeID, err)
}

// writeChunks writes encoded tables as chunks and returns their names. It doesn't write those that the head names and this client has read,
// which the platform has; the head alone may name a chunk that is missing. Writing a chunk again is harmless, since its name is the sum of
// its content.
func (c *Client) writeChunks(ctx context.Context, content []byte, named []string) ([]string, error) {
	chunks := splitChunks(content)
	if len(chunks) > maxChunks {
		return nil, fmt.Errorf("the tables take %d chunks of at most %d bytes; want at most %d", len(chunks), chunkSize, maxChunks)
	}
	names := make([]string, 0, len(chunks))
	for _, chunk := range chunks {
		sum := sha256.Sum256(chunk)
		name := hex.EncodeToString(sum[:])
		names = append(names, name)
		if _, read := c.chunks.get(name); read && slices.Contains(named, name) {
			continue
		}
		if err := c.writeChunk(ctx, name, chunk); err != nil {
			return nil, err
		}
	}
	return names, nil
}

func (c *Client) writeChunk(ctx context.Context, name string, chunk []byte) error {
	var err error
	for range maxWriteTries {
		if _, err = c.store.Put(ctx, chunkPrefix+name, chunk, Condition{}); !outcomeUnknown(err) {
			return err
		}
	}
	return err
}

// readContent returns the encoded tables of a revision, from the head itself or from the chunks that it names.
func (c *Client) readContent(ctx context.Context, head wireHead) ([]byte, error) {
	if len(head.Content) > 0 {
		return head.Content, nil
	}
	var content []byte
	for _, name := range head.Chunks {
		chunk, err := c.readChunk(ctx, head.Revision, name)
		if err != nil {
			return nil, err
		}
		content = append(content, chunk...)
	}
	c.chunks.keep(head.Chunks, content)
	return content, nil
}

// readChunk returns a chunk, from the content that was read last if that had it.
func (c *Client) readChunk(ctx context.Context, revision fleet.Revision, name string) ([]byte, error) {
	if chunk, ok := c.chunks.get(name); ok {
		return chunk, nil
	}
	found, err := c.store.Get(ctx, chunkPrefix+name)
	if err != nil {
		return nil, err
	}
	if found.Version == 0 {
		return nil, CallError{Call: "GET " + chunkPrefix + name, Err: errChunkMissing}
	}
	if sum := sha256.Sum256(found.Value); hex.EncodeToString(sum[:]) != name {
		err := errors.New("the value of " + chunkPrefix + name + " does not match its SHA-256 sum")
		return nil, CorruptTables{Revision: revision, Err: err}
	}
	return found.Value, nil
}

// splitChunks divides encoded tables at their parts, so that parts without changes have the same chunks, and parts at chunkSize.
func splitChunks(content []byte) [][]byte {
	var chunks [][]byte
	for _, part := range tablesfile.Split(content) {
		chunks = slices.AppendSeq(chunks, slices.Chunk(part, chunkSize))
	}
	return chunks
}

// outcomeUnknown reports whether err comes from a write that may have taken effect.
func outcomeUnknown(err error) bool {
	var callError CallError
	return errors.As(err, &callError) && callError.OutcomeUnknown
}
