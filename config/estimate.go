package config

import "errors"

// The memory that Parse takes for the parts of a document, in bytes. The sums are above what the
// decoded form, the typed form and the errors of the schema take together.
const (
	// memberBytes is for a member of an object: its key, its value and its place in the map.
	memberBytes = 224
	// elementBytes is for an element of an array, and also covers the map of an element that is an
	// object and a violation of the schema.
	elementBytes = 704
	// textCopies is how often the text itself is copied while it is decoded.
	textCopies = 4
)

// maxNesting is the maximum depth of nested values. That of a configuration is below 10.
const maxNesting = 64

// errNestedTooDeeply means that the values of a document are nested more than maxNesting deep.
var errNestedTooDeeply = errors.New("not readable: nested too deeply")

// DecodeBytes returns an upper estimate of the memory that Parse takes for a text, in bytes. It scans
// the text once, without allocating memory, and checks only how deeply values are nested.
func DecodeBytes(text []byte) (int, error) {
	bytes := textCopies * len(text)
	depth := 0
	var isArray [maxNesting + 1]bool
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '{', '[':
			if depth++; depth > maxNesting {
				return 0, errNestedTooDeeply
			}
			isArray[depth] = text[i] == '['
			bytes += valueBytes(isArray[depth])
		case '}', ']':
			depth = max(0, depth-1)
		case ',':
			bytes += valueBytes(isArray[depth])
		}
	}
	return bytes, nil
}

// valueBytes returns the memory for one value of an array or an object.
func valueBytes(isArray bool) int {
	if isArray {
		return elementBytes
	}
	return memberBytes
}

// endOfString returns the index of the quote that ends the string that begins at start, or of the
// last byte of the text.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text) - 1
}
