package api

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
)

const (
	// maxNameBytes bounds the name of an instance, a lock, a sequence, a cell, a group, a zone or
	// a service, and that of the holder of a lock.
	maxNameBytes = 512
	// maxExactInteger is the largest number that a query may give. All integers up to it are
	// exact in the floating-point numbers of JSON.
	maxExactInteger = 1 << 53
)

// decodeBody decodes a JSON body into to.
func decodeBody(body []byte, to any) error {
	if err := json.Unmarshal(body, to); err != nil {
		return apierror.New(apierror.BadRequest, "body: %v", err)
	}
	return nil
}

// requireName rejects a call without a name, or with one that is too long.
func requireName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return apierror.New(apierror.BadRequest, "of: name is missing or over %d bytes", maxNameBytes)
	}
	return nil
}

// queryNumber returns a number that is not negative from the query, without its fraction. It is 0
// if the query does not have it.
func queryNumber(query *fasthttp.Args, key string) (uint64, error) {
	if !query.Has(key) {
		return 0, nil
	}
	v, err := strconv.ParseFloat(string(query.Peek(key)), 64)
	if err != nil || v < 0 || v > maxExactInteger {
		return 0, apierror.New(apierror.BadRequest, "%s: not a number", key)
	}
	return uint64(v), nil
}
