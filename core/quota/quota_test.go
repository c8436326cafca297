package quota_test

import (
	"fmt"

	"mustardmast/core/quota"
)

func ExampleQuota() {
	q := quota.New(10)
	fmt.Println(q.Acquire(7), q.Acquire(4), q.Acquire(3), q.Used())
	q.Release(7)
	fmt.Println(q.Acquire(4), q.Used())
	// Output:
	// true false true 10
	// true 7
}
