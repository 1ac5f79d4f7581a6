package strictjson

// lettersPerTypo allows one typing error for each full three letters of a word.
const lettersPerTypo = 3

// Nearest returns the candidate with the smallest edit distance to the word, or "" if all
// are too different. The alphabetically first one wins among equals.
func Nearest(word string, candidates []string) string {
	best, bestDistance := "", len(word)/lettersPerTypo+1
	for _, candidate := range candidates {
		distance := editDistance(word, candidate)
		if distance < bestDistance || (distance == bestDistance && best != "" && candidate < best) {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two words, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
