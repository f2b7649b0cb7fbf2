package configfile

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Text returns a reader of a string that passes every check. A check returns what is allowed, or "" when s is allowed.
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

// OneOf returns a reader of a string that is one of the given ones.
func OneOf[S ~string](to *S, allowed ...string) Reader {
	return Text(to, func(s string) string {
		if slices.Contains(allowed, s) {
			return ""
		}
		return strings.Join(allowed, " or ")
	})
}

// Parsed returns a reader of a string that parse understands. Its error says what is allowed.
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

// Bool returns a reader of true or false.
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

// Int returns a reader of a whole number from least to most.
func Int[N ~int | ~int64 | ~uint64](to *N, least, most N) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal("0")
		if !ok {
			return v.Problem("is %s; want a whole number from %d to %d", v.kindName(), least, most)
		}
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || n < int64(least) || n > int64(most) {
			return v.Problem("%s is not allowed; want a whole number from %d to %d", string(literal), least, most)
		}
		*to = N(n)
		return nil
	}
}

// Float returns a reader of a number from least to most.
func Float(to *float64, least, most float64) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal("0")
		if !ok {
			return v.Problem("is %s; want a number from %g to %g", v.kindName(), least, most)
		}
		n, err := strconv.ParseFloat(string(literal), 64)
		if err != nil || n < least || n > most {
			return v.Problem("%s is not allowed; want a number from %g to %g", string(literal), least, most)
		}
		*to = n
		return nil
	}
}

// Duration returns a reader of a Go duration string from least to most.
func Duration(to *time.Duration, least, most time.Duration) Reader {
	return func(v Value) Problems {
		literal, ok := v.literal(`"`)
		if !ok {
			return v.Problem("is %s; want a duration string from %q to %q", v.kindName(), least, most)
		}
		d, err := time.ParseDuration(literal.String())
		if err != nil || d < least || d > most {
			return v.Problem("%q is not allowed; want a duration from %q to %q, such as \"1.5s\" or \"24h\"",
				literal.String(), least, most)
		}
		*to = d
		return nil
	}
}
