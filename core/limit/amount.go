package limit

import "damasklatch/core/unit"

// Amount is a part of a rate limit. Its rate, burst capacity and tokens are lent together.
type Amount struct {
	Rate   unit.MilliPerSecond
	Burst  unit.Milli
	Tokens unit.Milli
}

// isZero reports whether am has neither rate nor burst. Tokens are ignored.
func (am Amount) isZero() bool { return am.Rate <= 0 && am.Burst <= 0 }

// plus adds rates and bursts. The result has no tokens.
func (am Amount) plus(ot Amount) Amount {
	return Amount{Rate: am.Rate + ot.Rate, Burst: am.Burst + ot.Burst}
}

// minus subtracts rates and bursts; neither becomes negative. The result has no tokens.
func (am Amount) minus(ot Amount) Amount {
	return Amount{Rate: max(am.Rate-ot.Rate, 0), Burst: max(am.Burst-ot.Burst, 0)}
}

// atMost returns the smaller rate and the smaller burst of the two amounts, without tokens.
func (am Amount) atMost(ot Amount) Amount {
	return Amount{Rate: min(am.Rate, ot.Rate), Burst: min(am.Burst, ot.Burst)}
}

// atLeast returns the larger rate and the larger burst of the two amounts, without tokens.
func (am Amount) atLeast(ot Amount) Amount {
	return Amount{Rate: max(am.Rate, ot.Rate), Burst: max(am.Burst, ot.Burst)}
}

// nonNegative replaces negative components by zero. Only a faulty sender sends negative components.
func (am Amount) nonNegative() Amount {
	return Amount{Rate: max(am.Rate, 0), Burst: max(am.Burst, 0), Tokens: max(am.Tokens, 0)}
}

// share returns the fraction part/whole of rate and burst, rounded down, without tokens.
func (am Amount) share(part, whole unit.PPM) Amount {
	return Amount{
		Rate:  unit.MilliPerSecond(unit.Share(int64(am.Rate), part, whole)),
		Burst: unit.Milli(unit.Share(int64(am.Burst), part, whole)),
	}
}
