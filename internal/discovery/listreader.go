package discovery

import (
	"bytes"
	"fmt"
	"io"
)

// listReader reads the body of a watch. It calls onData for each read that returns data, and onHeartbeat for each that returns
// nothing but white space between two lists. It fails once more than maxListBytes have come since the last complete list.
type listReader struct {
	source         io.Reader
	onData         func()
	onHeartbeat    func()
	bytesSinceList int
	isInsideList   bool // part of the next list has been read
}

// beginList must be called after each complete list. buffered are the bytes behind it that were read already.
func (r *listReader) beginList(buffered io.Reader) {
	rest, _ := io.ReadAll(buffered) // it reads from memory
	r.bytesSinceList = 0
	r.isInsideList = len(bytes.TrimSpace(rest)) > 0
}

// Read implements io.Reader.
func (r *listReader) Read(buffer []byte) (int, error) {
	if r.bytesSinceList > maxListBytes {
		return 0, fmt.Errorf("list exceeds %d bytes", maxListBytes)
	}
	n, err := r.source.Read(buffer)
	if n > 0 {
		r.bytesSinceList += n
		r.isInsideList = r.isInsideList || len(bytes.TrimSpace(buffer[:n])) > 0
		r.onData()
		if !r.isInsideList {
			r.onHeartbeat()
		}
	}
	return n, err
}
