package keys

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// Slots is the number of key slots. Each slot has one home at a time.
const Slots = 64

// Slot returns the slot of a team's key; the case of the key's letters does not matter.
func Slot(team, key string) int {
	h := fnv.New64a()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write([]byte(strings.ToLower(key)))
	return int(h.Sum64() % Slots)
}

// Duty returns the name of the duty of being a slot's home.
func Duty(slot int) string { return fmt.Sprintf("key/%d", slot) }

const (
	uuidLength      = 36
	uuidVersion     = '7'
	timestampDigits = 12 // hexadecimal digits of the Unix time in milliseconds that a UUIDv7 starts with
)

// Timestamp returns the timestamp embedded in a UUIDv7. It returns false if the text is not a UUIDv7.
func Timestamp(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	var millis int64
	digits := 0
	for i := range len(key) {
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if key[i] != '-' {
				return time.Time{}, false
			}
			continue
		}
		d, ok := hexDigit(key[i])
		if !ok {
			return time.Time{}, false
		}
		if digits < timestampDigits {
			millis = millis<<4 | int64(d)
			digits++
		}
	}
	variant, _ := hexDigit(key[19])
	return time.UnixMilli(millis), key[14] == uuidVersion && variant>>2 == 2
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
