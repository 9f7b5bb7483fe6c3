// Package director implements the replicated state machine of the directory: the
// declared routes, the announced backend servers, and the data centres that are taken
// out. Entries follow this state to route flows by tokens. A declaration takes effect
// as soon as it is committed; operators who want to confirm a plan first use the
// planner.
package director

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Command is a command of the replicated log. Only the types in this file implement
// it.
type Command interface{ isCommand() }

type sealed struct{}

func (sealed) isCommand() {}

// Declare applies a declaration if its version is higher than that of the current one.
type Declare struct {
	sealed      `cbor:"-"`
	Declaration director.Declaration `cbor:"declaration"`
}

// Announcement is the state that a backend server reports about itself. The Machine
// assigns the token and the state of Server.
type Announcement struct {
	Server   director.Server `cbor:"server"`
	Draining bool            `cbor:"draining"`
}

// Announce records a batch of announcements.
type Announce struct {
	sealed        `cbor:"-"`
	Announcements []Announcement `cbor:"announcements"`
}

// Withdraw records that a backend server is about to stop.
type Withdraw struct {
	sealed `cbor:"-"`
	Host   string `cbor:"host"`
	// Incarnation is 0 if the backend server did not give it. It may then be that of any start.
	Incarnation uint64 `cbor:"incarnation"`
}

// Expire marks backend servers whose lease was not renewed as lapsed, and removes
// the records of those that stopped or lapsed long ago.
type Expire struct {
	sealed `cbor:"-"`
	Lapsed []director.Token `cbor:"lapsed"`
	Forget []director.Token `cbor:"forget"`
}

// TakeOut takes a data centre out of use or brings it back.
type TakeOut struct {
	sealed     `cbor:"-"`
	DataCentre string `cbor:"data_centre"`
	TakenOut   bool   `cbor:"taken_out"`
}

// Enlist registers an entry as one of those that share the limit on new flows to cold
// backend servers. Entries are never removed, so that their shares never add up to
// more than the limit.
type Enlist struct {
	sealed `cbor:"-"`
	Entry  string `cbor:"entry"`
}

// commandBody is the encoding of a command. Exactly one field is set.
type commandBody struct {
	Declare  *Declare  `cbor:"1,keyasint,omitempty"`
	Announce *Announce `cbor:"2,keyasint,omitempty"`
	Withdraw *Withdraw `cbor:"3,keyasint,omitempty"`
	Expire   *Expire   `cbor:"4,keyasint,omitempty"`
	TakeOut  *TakeOut  `cbor:"5,keyasint,omitempty"`
	Enlist   *Enlist   `cbor:"6,keyasint,omitempty"`
}

var errUnknownCommand = errors.New("the command is of an unknown kind")

// Encode returns the encoding of a command for the replicated log.
func Encode(command Command) ([]byte, error) {
	var body commandBody
	switch c := command.(type) {
	case Declare:
		body.Declare = &c
	case Announce:
		body.Announce = &c
	case Withdraw:
		body.Withdraw = &c
	case Expire:
		body.Expire = &c
	case TakeOut:
		body.TakeOut = &c
	case Enlist:
		body.Enlist = &c
	default:
		return nil, errUnknownCommand
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", command, err)
	}
	return data, nil
}

func decode(data []byte) (Command, error) {
	var body commandBody
	if err := cbor.Unmarshal(data, &body); err != nil {
		return nil, fmt.Errorf("decode a command: %w", err)
	}
	switch {
	case body.Declare != nil:
		return *body.Declare, nil
	case body.Announce != nil:
		return *body.Announce, nil
	case body.Withdraw != nil:
		return *body.Withdraw, nil
	case body.Expire != nil:
		return *body.Expire, nil
	case body.TakeOut != nil:
		return *body.TakeOut, nil
	case body.Enlist != nil:
		return *body.Enlist, nil
	default:
		return nil, errUnknownCommand
	}
}

// goneRetention is how long the record of a stopped or lapsed backend server is kept,
// so that its flows are reset and late announcements are recognised. It exceeds the
// longest flow on the supported platforms (60 s).
const goneRetention = 70 * time.Second
