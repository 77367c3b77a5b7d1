package bench

import (
	"math"

	"github.com/pkg/errors"
)

// leastSquares returns the coefficients of the linear least-squares fit of the rows to the values. It solves the normal
// equations, which are accurate enough for a few columns of small numbers.
func leastSquares(rows [][]float64, values []float64) ([]float64, error) {
	columns := len(rows[0])
	eqs := make([][]float64, columns)
	for ea := range eqs {
		eqs[ea] = make([]float64, columns+1)
		for nr, row := range rows {
			for eb := range columns {
				eqs[ea][eb] += row[ea] * row[eb]
			}
			eqs[ea][columns] += row[ea] * values[nr]
		}
	}
	return solveLinear(eqs)
}

// solveLinear solves linear equations by Gaussian elimination with partial pivoting. The last column is the right-hand
// side. It modifies eqs.
func solveLinear(eqs [][]float64) ([]float64, error) {
	const singular = 1e-9
	for nr := range eqs {
		best := nr
		for ot := nr + 1; ot < len(eqs); ot++ {
			if math.Abs(eqs[ot][nr]) > math.Abs(eqs[best][nr]) {
				best = ot
			}
		}
		eqs[nr], eqs[best] = eqs[best], eqs[nr]
		if math.Abs(eqs[nr][nr]) < singular {
			return nil, errors.New("the measured points do not determine the coefficients: singular equations")
		}
		for ot := range eqs {
			if ot == nr {
				continue
			}
			factor := eqs[ot][nr] / eqs[nr][nr]
			for cl := nr; cl < len(eqs[ot]); cl++ {
				eqs[ot][cl] -= factor * eqs[nr][cl]
			}
		}
	}
	solution := make([]float64, len(eqs))
	for nr, eq := range eqs {
		solution[nr] = eq[len(eqs)] / eq[nr]
	}
	return solution, nil
}
