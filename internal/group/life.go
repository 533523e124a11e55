package group

import (
	"context"

	"github.com/juju/errors"
	"github.com/qmuntal/stateless"
)

// State is where a group stands in its life.
type State string

// States of a group. Only a serving group gets new requests.
const (
	StateLoading   State = "loading"   // members are reserved and being ordered
	StateServing   State = "serving"   // every member was read back at this epoch
	StateSuspended State = "suspended" // the epoch is over: members are released
	StateDraining  State = "draining"  // no new work, finishing what it has
	StateRetiring  State = "retiring"  // members are being released
	StateReleased  State = "released"  // gone: no longer in the object
)

// Trigger is what moves a group on.
type Trigger string

// Triggers.
const (
	TriggerVerified   Trigger = "verified"    // all members read back
	TriggerMemberLost Trigger = "member-lost" // dead, restarted or reassigned
	TriggerDrain      Trigger = "drain"       // a member is to leave, or surplus
	TriggerFinished   Trigger = "finished"    // a draining group has nothing left
	TriggerReplace    Trigger = "replace"     // a new epoch with another member
	TriggerRetire     Trigger = "retire"      // give the VMs up
	TriggerReleased   Trigger = "released"    // all members read back idle
)

// ErrTrigger: the group's state does not permit the trigger.
const ErrTrigger = errors.ConstError("group: trigger not permitted")

// Next returns the state after a trigger, by the group's state machine:
//
//	loading ─verified→ serving ─member-lost→ suspended ─replace→ loading
//	serving ─drain→ draining ─finished→ suspended
//	loading, suspended, draining ─retire→ retiring ─released→ released
func Next(s State, t Trigger) (State, error) {
	m := newMachine(s)
	if err := m.FireCtx(context.Background(), t); err != nil {
		return s, errors.WithType(errors.Annotatef(err, "%s in state %s", t, s), ErrTrigger)
	}
	return m.MustState().(State), nil
}

func newMachine(s State) *stateless.StateMachine {
	m := stateless.NewStateMachine(s)
	m.Configure(StateLoading).
		Permit(TriggerVerified, StateServing).
		Permit(TriggerMemberLost, StateSuspended).
		Permit(TriggerRetire, StateRetiring)
	m.Configure(StateServing).
		Permit(TriggerMemberLost, StateSuspended).
		Permit(TriggerDrain, StateDraining)
	m.Configure(StateSuspended).
		Permit(TriggerReplace, StateLoading).
		Permit(TriggerRetire, StateRetiring)
	m.Configure(StateDraining).
		Permit(TriggerMemberLost, StateSuspended).
		Permit(TriggerFinished, StateSuspended).
		Permit(TriggerRetire, StateRetiring)
	m.Configure(StateRetiring).
		Permit(TriggerReleased, StateReleased)
	return m
}
