package storage

import (
	"database/sql/driver"
	"errors"
	"fmt"
	"hash/crc32"
)

// ErrChecksum is the DiscardReason of a store in which the content of a row does not match its
// checksum. It is damage that SQLite does not notice.
var ErrChecksum = errors.New("storage: checksum does not match")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// rowChecksum returns the CRC-32 (Castagnoli) of a row: of its other columns, as fmt.Sprint
// prints them, followed by its data.
func rowChecksum(data []byte, columns ...any) int64 {
	sum := crc32.Checksum([]byte(fmt.Sprint(columns...)), castagnoliTable)
	return int64(crc32.Update(sum, castagnoliTable, data))
}

// verifyChecksum compares a stored checksum with that of the row. Rows that were written by a
// version without checksums have none and are accepted.
func verifyChecksum(stored driver.Value, checksum int64) error {
	if stored != nil && stored != checksum {
		return ErrChecksum
	}
	return nil
}
