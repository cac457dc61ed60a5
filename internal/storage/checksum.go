package storage

import (
	"database/sql/driver"
	"errors"
	"fmt"
	"hash/crc32"
)

// ErrChecksum is the DiscardReason of a store in which the content of a row does not match its
// checksum. SQLite does not detect such damage.
var ErrChecksum = errors.New("storage: checksum does not match")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// rowChecksum returns the CRC-32 (Castagnoli) of the given columns, as fmt.Sprint formats them,
// followed by the data column.
func rowChecksum(data []byte, columns ...any) int64 {
	checksum := crc32.Checksum([]byte(fmt.Sprint(columns...)), castagnoliTable)
	return int64(crc32.Update(checksum, castagnoliTable, data))
}

// verifyChecksum compares a stored checksum with the computed one. Rows without a checksum, as
// versions before checksums wrote them, are accepted.
func verifyChecksum(stored driver.Value, checksum int64) error {
	if stored != nil && stored != checksum {
		return ErrChecksum
	}
	return nil
}
