package config

import (
	"fmt"
	"math/big"
	"regexp"
	"strconv"
	"strings"
	"time"

	"damasklatch/core/unit"
)

// scale is a unit of measurement: its symbol and its size in the base unit of the kind of quantity.
type scale struct {
	symbol string
	size   int64
}

// Units of each kind of quantity, sorted from large to small. The base units are requests per minute, bits per second,
// bytes and nanoseconds.
var (
	rateScales     = []scale{{"/s", 60}, {"/min", 1}}
	bitScales      = []scale{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}, {"bit/s", 1}}
	byteScales     = []scale{{"GiB", 1 << 30}, {"GB", 1e9}, {"MiB", 1 << 20}, {"MB", 1e6}, {"KiB", 1 << 10}, {"kB", 1e3}, {"B", 1}}
	durationScales = []scale{{"h", int64(time.Hour)}, {"min", int64(time.Minute)}, {"s", int64(time.Second)}, {"ms", int64(time.Millisecond)}, {"us", int64(time.Microsecond)}, {"ns", 1}}
)

// maxDigits is the maximum length of the text of a quantity in bytes. It prevents a malicious file from causing
// arithmetic on huge numbers.
const maxDigits = 24

var quantityPattern = regexp.MustCompile(`^([+-]?[0-9]+(?:\.[0-9]+)?) ?([A-Za-z/]*)$`)

// splitQuantity splits the text of a quantity into the number and the symbol of the unit.
func splitQuantity(text string) (*big.Rat, string, error) {
	if len(text) > maxDigits {
		return nil, "", fmt.Errorf("%q is too long for a number", text[:maxDigits]+"...")
	}
	parts := quantityPattern.FindStringSubmatch(text)
	if parts == nil {
		return nil, "", fmt.Errorf("%q is not a number with a unit", text)
	}
	rat, ok := new(big.Rat).SetString(parts[1])
	if !ok {
		return nil, "", fmt.Errorf("%q is not a number", parts[1])
	}
	return rat, parts[2], nil
}

// parseScaled parses a quantity in one of the units and returns it in the base unit. Zero needs no unit. Errors show
// example as the correct form.
func parseScaled(text, example string, scales []scale) (*big.Rat, error) {
	rat, symbol, err := splitQuantity(text)
	if err != nil {
		return nil, err
	}
	if symbol == "" && rat.Sign() == 0 {
		return rat, nil
	}
	for _, sc := range scales {
		if sc.symbol == symbol {
			return rat.Mul(rat, new(big.Rat).SetInt64(sc.size)), nil
		}
	}
	symbols := make([]string, 0, len(scales))
	for _, sc := range scales {
		symbols = append(symbols, sc.symbol)
	}
	if symbol == "" {
		return nil, fmt.Errorf("%q has no unit; write for example %s (units: %s)", text, example, strings.Join(symbols, ", "))
	}
	return nil, fmt.Errorf("%q has the wrong unit %q; write for example %s (units: %s)",
		text, symbol, example, strings.Join(symbols, ", "))
}

// toInt64 returns rat as an int64. It fails if rat is not an integer or does not fit. Errors show text as the quantity
// and smallest as the resolution.
func toInt64(rat *big.Rat, text, smallest string) (int64, error) {
	if !rat.IsInt() {
		return 0, fmt.Errorf("%q is not a multiple of %s", text, smallest)
	}
	if !rat.Num().IsInt64() {
		return 0, fmt.Errorf("%q is too large", text)
	}
	return rat.Num().Int64(), nil
}

func parseRate(text string) (unit.MilliPerSecond, error) {
	rat, err := parseScaled(text, "200/s", rateScales)
	if err != nil {
		return 0, err
	}
	val, err := toInt64(rat.Mul(rat, big.NewRat(int64(unit.One), 60)), text, "a thousandth per second")
	return unit.MilliPerSecond(val), err
}

func parseBits(text string) (unit.BitsPerSecond, error) {
	rat, err := parseScaled(text, "280Mbit/s", bitScales)
	if err != nil {
		return 0, err
	}
	val, err := toInt64(rat, text, "one bit per second")
	return unit.BitsPerSecond(val), err
}

func parseBytes(text string) (int64, error) {
	rat, err := parseScaled(text, "16MiB", byteScales)
	if err != nil {
		return 0, err
	}
	return toInt64(rat, text, "one byte")
}

func parseDuration(text string) (time.Duration, error) {
	rat, err := parseScaled(text, "35ms", durationScales)
	if err != nil {
		return 0, err
	}
	val, err := toInt64(rat, text, "a nanosecond")
	return time.Duration(val), err
}

// parsePlain parses a number without a unit.
func parsePlain(text string) (*big.Rat, error) {
	rat, symbol, err := splitQuantity(text)
	if err != nil {
		return nil, fmt.Errorf("%q is not a number", text)
	}
	if symbol != "" {
		return nil, fmt.Errorf("%q has the unit %q; write a number without a unit", text, symbol)
	}
	return rat, nil
}

func parseMilli(text string) (unit.Milli, error) {
	rat, err := parsePlain(text)
	if err != nil {
		return 0, err
	}
	val, err := toInt64(rat.Mul(rat, big.NewRat(int64(unit.One), 1)), text, "a thousandth")
	return unit.Milli(val), err
}

func parseCount(text string) (int64, error) {
	rat, err := parsePlain(text)
	if err != nil {
		return 0, err
	}
	if !rat.IsInt() {
		return 0, fmt.Errorf("%q is not a whole number", text)
	}
	return toInt64(rat, text, "one")
}

// formatScaled formats a value, given in the base unit, in the largest unit in which it is a whole number.
func formatScaled(value int64, scales []scale) string {
	if value == 0 {
		return "0"
	}
	for _, sc := range scales {
		if value%sc.size == 0 {
			return strconv.FormatInt(value/sc.size, 10) + sc.symbol
		}
	}
	return strconv.FormatInt(value, 10) + scales[len(scales)-1].symbol
}

// formatMilli formats a number of thousandths as a decimal number.
func formatMilli(value int64) string {
	text := new(big.Rat).SetFrac64(value, int64(unit.One)).FloatString(3)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

func formatRate(value unit.MilliPerSecond) string { return formatMilli(int64(value)) + "/s" }

func formatBits(value unit.BitsPerSecond) string { return formatScaled(int64(value), bitScales) }

func formatBytes(value int64) string { return formatScaled(value, byteScales) }

func formatDuration(value time.Duration) string { return formatScaled(int64(value), durationScales) }
