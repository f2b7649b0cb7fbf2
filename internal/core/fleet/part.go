package fleet

// PartSum identifies a part of encoded tables by its content.
type PartSum string

// TablesPart is a part of encoded tables. Revisions share the parts that are equal in both.
type TablesPart struct {
	Sum PartSum
	// Content is empty in a message if the receiver has the part.
	Content []byte
}
