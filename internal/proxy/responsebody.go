package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"lichentray/internal/api"
)

const (
	// maxChunkedBodyBytes is the maximum size of a chunked body, which is buffered completely.
	maxChunkedBodyBytes = 1 << 20
	// unreservedResponseBytes is how much of a body is read without reserving memory for it, and
	// responseReservationBytes the least that is then reserved at a time for a chunked body.
	unreservedResponseBytes  = 4 << 10
	responseReservationBytes = 32 << 10
	// maxChunkLineBytes is the maximum size of the lines before and after the data of a chunk.
	maxChunkLineBytes = 1024
)

// readChunkedBody reads a chunked body of at most maxBytes bytes, and discards its trailers. It
// reserves the memory for it at the client's connection.
func readChunkedBody(in *bufio.Reader, maxBytes int, client *api.Conn) ([]byte, error) {
	var body []byte
	reserved := unreservedResponseBytes
	for {
		bytesLeft := maxChunkLineBytes
		size, err := readChunkSize(in, &bytesLeft)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		if len(body)+size > maxBytes {
			return nil, fmt.Errorf("%w: chunked body of over %d bytes", errInvalidResponse, maxBytes)
		}
		if missing := len(body) + size - reserved; missing > 0 {
			missing = max(missing, responseReservationBytes)
			client.ReserveResponse(missing)
			reserved += missing
		}
		offset := len(body)
		body = append(body, make([]byte, size)...)
		if _, err := io.ReadFull(in, body[offset:]); err != nil {
			return nil, err
		}
		if line, err := readLine(in, &bytesLeft); err != nil || len(line) != 0 {
			return nil, fmt.Errorf("%w: chunk end", errInvalidResponse)
		}
	}
	if err := skipTrailers(in); err != nil {
		return nil, err
	}
	return body, nil
}

// readChunkSize reads the line with the size of a chunk, and ignores chunk extensions.
func readChunkSize(in *bufio.Reader, bytesLeft *int) (int, error) {
	line, err := readLine(in, bytesLeft)
	if err != nil {
		return 0, err
	}
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 16, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: chunk size", errInvalidResponse)
	}
	return int(n), nil
}

// skipTrailers reads the lines after the last chunk up to the empty one.
func skipTrailers(in *bufio.Reader) error {
	bytesLeft := maxResponseHeaderBytes
	for {
		line, err := readLine(in, &bytesLeft)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
	}
}
