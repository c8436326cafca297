package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mustardmast"
	"mustardmast/core/member"
	"mustardmast/internal/fleet"
)

func ExampleMembers() {
	now := time.Unix(1_000_000, 0)
	self := fleet.Member(0, 3)
	self.ID = 1
	view := member.New(now, member.Settings{Self: self}, rand.New(rand.NewPCG(1, 1)))
	other := fleet.Member(1, 3)
	other.ID, other.Service = 2, "plug-ledger"
	view.Merge(now, []member.Update{{Member: other}})
	fmt.Println("serving:", len(view.Serving("plug-ledger")))
	other.State, other.RefutationCounter = mustardmast.Draining, 1
	view.Merge(now, []member.Update{{Member: other}})
	fmt.Println("serving:", len(view.Serving("plug-ledger")))
	// Output:
	// serving: 1
	// serving: 0
}

func ExampleTokenBucket() {
	now := time.Unix(1_000_000, 0)
	b := member.NewTokenBucket(now, 100, 300)
	b.Charge(now, 400) // must be sent
	fmt.Println(b.Level(now), b.Take(now, 50), b.Take(now.Add(2*time.Second), 50))
	// Output: -100 false true
}
