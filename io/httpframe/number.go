package httpframe

const (
	// MaxLengthDigits is the number of decimal digits that always fit into an int64.
	MaxLengthDigits = 18
	// MaxChunkDigits is the number of hexadecimal digits that always fit into an int64.
	MaxChunkDigits = 15
)

// ParseNumber parses a sequence of 1 to most digits of a base up to 16. Unlike strconv.ParseInt, it accepts no sign and no
// underscores.
func ParseNumber(text []byte, base int64, most int) (int64, bool) {
	if len(text) == 0 || len(text) > most {
		return 0, false
	}
	sum := int64(0)
	for _, char := range text {
		digit, ok := digitOf(char)
		if !ok || digit >= base {
			return 0, false
		}
		sum = sum*base + digit
	}
	return sum, true
}

func digitOf(char byte) (int64, bool) {
	switch {
	case char >= '0' && char <= '9':
		return int64(char - '0'), true
	case char >= 'a' && char <= 'f':
		return int64(char-'a') + 10, true
	case char >= 'A' && char <= 'F':
		return int64(char-'A') + 10, true
	default:
		return 0, false
	}
}
