package overload_test

import (
	"fmt"
	"time"

	"lichentray/overload"
)

// A connection that has held memory for a while gives way to a newcomer.
func Example() {
	account := overload.NewAccount(overload.Divide(5200, 1000))
	slow, _ := account.Open(0, overload.Frontend, 100)
	account.SetState(0, slow, overload.Receiving)
	account.Reserve(0, slow, 800)

	now := time.Second
	newcomer, _ := account.Open(now, overload.Frontend, 100)
	account.SetState(now, newcomer, overload.Receiving)
	isReserved, isRejected, evicted := account.Reserve(now, newcomer, 200)
	fmt.Println(isReserved, isRejected, len(evicted), slow.IsEvicted())

	account.Close(slow)
	isReserved, _, _ = account.Reserve(now, newcomer, 200)
	fmt.Println(isReserved, account.Reserved())
	// Output:
	// false false 1 true
	// true 300
}
