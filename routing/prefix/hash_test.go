package prefix

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// However a text is cut into pieces, its blocks have the same names.
func TestHashesDoNotDependOnChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat(rapid.StringN(1, 40, 80).Draw(t, "text"), 30)
		var whole, pieces Hasher
		whole.Write(text)
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces.Write(rest[:n])
			rest = rest[n:]
		}
		is.New(t).Equal(whole.Hashes(), pieces.Hashes())
	})
}

func TestHashCoversPrecedingBlocks(t *testing.T) {
	is := is.New(t)
	a, b := strings.Repeat("a", BlockBytes), strings.Repeat("b", BlockBytes)
	var first, second, other Hasher
	first.Write(a + b)
	second.Write(a + a)
	other.Write(b + b)
	is.Equal(first.Hashes()[0], second.Hashes()[0])
	is.True(first.Hashes()[1] != second.Hashes()[1])
	is.True(first.Hashes()[1] != other.Hashes()[1])
	is.Equal(first.Tokens(), 2*BlockBytes/BytesPerToken)
}
