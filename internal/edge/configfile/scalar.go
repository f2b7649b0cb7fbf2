package configfile

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Text returns a Reader for a string that passes every check. A check returns "" if s is allowed, and otherwise a description
// of the allowed strings.
func Text[S ~string](to *S, checks ...func(s string) string) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal(`"`)
		if !ok {
			return v.Problem("is %s; want a string", v.kindName())
		}
		s := literal.String()
		for _, check := range checks {
			if allowed := check(s); allowed != "" {
				return v.Problem("%q is not allowed; want %s", s, allowed)
			}
		}
		*to = S(s)
		return nil
	}
}

// OneOf returns a Reader for a string that is one of allowed.
func OneOf[S ~string](to *S, allowed ...string) Reader {
	return Text(to, func(s string) string {
		if slices.Contains(allowed, s) {
			return ""
		}
		return strings.Join(allowed, " or ")
	})
}

// Parsed returns a Reader for a string that parse accepts. The error of parse describes what is allowed.
func Parsed[T any](to *T, parse func(string) (T, error)) Reader {
	return func(v Value) Problems {
		var s string
		if problems := Text(&s)(v); problems != nil {
			return problems
		}
		parsed, err := parse(s)
		if err != nil {
			return v.Problem("%v", err)
		}
		*to = parsed
		return nil
	}
}

// Bool returns a Reader for true or false.
func Bool(store func(bool)) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal("tf")
		if !ok {
			return v.Problem("is %s; want true or false", v.kindName())
		}
		store(literal.Bool())
		return nil
	}
}

// Int returns a Reader for a whole number from lower to upper.
func Int[N ~int | ~int64 | ~uint64](to *N, lower, upper N) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal("0")
		if !ok {
			return v.Problem("is %s; want a whole number from %d to %d", v.kindName(), lower, upper)
		}
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || n < int64(lower) || n > int64(upper) {
			return v.Problem("%s is not allowed; want a whole number from %d to %d", string(literal), lower, upper)
		}
		*to = N(n)
		return nil
	}
}

// Float returns a Reader for a number from lower to upper.
func Float(to *float64, lower, upper float64) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal("0")
		if !ok {
			return v.Problem("is %s; want a number from %g to %g", v.kindName(), lower, upper)
		}
		n, err := strconv.ParseFloat(string(literal), 64)
		if err != nil || n < lower || n > upper {
			return v.Problem("%s is not allowed; want a number from %g to %g", string(literal), lower, upper)
		}
		*to = n
		return nil
	}
}

// Duration returns a Reader for a Go duration string from lower to upper.
func Duration(to *time.Duration, lower, upper time.Duration) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal(`"`)
		if !ok {
			return v.Problem("is %s; want a duration string from %q to %q", v.kindName(), lower, upper)
		}
		d, err := time.ParseDuration(literal.String())
		if err != nil || d < lower || d > upper {
			return v.Problem("%q is not allowed; want a duration from %q to %q, such as \"1.5s\" or \"24h\"",
				literal.String(), lower, upper)
		}
		*to = d
		return nil
	}
}
