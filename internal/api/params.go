package api

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
)

const (
	// maxNameBytes limits the name of an instance, a lock, a sequence, a cell, a group, a zone or
	// a service, and the name of a lock's holder.
	maxNameBytes = 512
	// maxExactInteger is the largest number accepted in a query parameter. A float64, which is
	// how JSON decoders commonly represent numbers, holds all integers up to it exactly.
	maxExactInteger = 1 << 53
)

// decodeBody decodes a JSON body into the value that target points to.
func decodeBody(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return apierror.New(apierror.BadRequest, "body: %v", err)
	}
	return nil
}

// requireName rejects an empty name and one that is too long.
func requireName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return apierror.New(apierror.BadRequest, "of: name is missing or over %d bytes", maxNameBytes)
	}
	return nil
}

// queryNumber returns a non-negative number from the query, truncated to an integer. It returns 0
// if the parameter is missing.
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
