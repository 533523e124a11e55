package formation

import "math"

// missingShare is the part of a domain's instances that is missing at a time: dead and
// not yet replaced, or loading. Source: played days with a few percent of the engines
// lost every three seconds, where replacements load for 12 to 16 s, show 10 to 20 % of
// the instances without a group.
const missingShare = 0.15

// yield is the part of a domain of n instances that serves in groups of a size when
// each instance is missing with the probability missing: large groups need many living
// members in one domain, and what is left over stands idle.
func yield(n, size int, missing float64) float64 {
	if size <= 0 || n < size {
		return 0
	}
	serving := 0.0
	for living := 0; living <= n; living++ {
		serving += binomial(n, living, 1-missing) * float64(living/size*size)
	}
	return serving / float64(n)
}

// binomial is the probability of k successes in n trials with probability p each.
func binomial(n, k int, p float64) float64 {
	ways, _ := math.Lgamma(float64(n + 1))
	chosen, _ := math.Lgamma(float64(k + 1))
	rest, _ := math.Lgamma(float64(n - k + 1))
	return math.Exp(ways - chosen - rest + float64(k)*math.Log(p) + float64(n-k)*math.Log(1-p))
}
